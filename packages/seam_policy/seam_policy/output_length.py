"""Estimates output lengths from the callers' estimates.

Callers' estimates have the right median but a wide error, so a long estimate
usually means a moderately long output. The best estimate lies between the
caller's estimate and the mean of earlier ones (regression towards the mean).
"""

import math

from seam_policy import estimate

ESTIMATE_WEIGHT = 0.5
"""Weight of an estimate's logarithm relative to that of the mean."""
_GAIN = 0.05


class OutputLengthEstimator:
    """Blends estimates with the moving mean of earlier estimates."""

    def __init__(self) -> None:
        """Starts without earlier estimates."""
        self._log_mean = estimate.Ewma(0.0, gain=_GAIN)

    def expected_tokens(self, estimated_tokens: int, max_tokens: int) -> int:
        """Adds an estimate and returns the expected length in tokens."""
        log_estimate = math.log(max(1, estimated_tokens))
        self._log_mean.add(log_estimate)
        log_blend = self._log_mean.value + ESTIMATE_WEIGHT * (
            log_estimate - self._log_mean.value
        )
        return min(max_tokens, max(1, round(math.exp(log_blend))))
