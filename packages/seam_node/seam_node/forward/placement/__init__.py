"""Places for model requests at engines, and the engines' stages."""
