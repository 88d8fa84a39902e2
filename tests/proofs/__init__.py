"""The promises, broken on purpose on a virtual clock."""
