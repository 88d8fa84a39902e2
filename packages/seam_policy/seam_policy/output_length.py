"""How long an output gets, from the caller's estimate and those before it.

A caller's estimate is right at the median but often far off, so that a long
estimate mostly means a somewhat long output. The best guess lies between the
estimate and the usual length (regression towards the mean).
"""

import math

from seam_policy import estimate

TRUST = 0.5
"""Weight of the logarithm of an estimate against that of the usual length."""
_GAIN = 0.05


class OutputLengthEstimator:
    """Learns the usual length from the estimates that came in."""

    def __init__(self) -> None:
        """Starts without a usual length."""
        self._usual = estimate.Ewma(0.0, gain=_GAIN)

    def expected_tokens(self, estimated_tokens: int, max_tokens: int) -> int:
        """Takes an estimate; returns the length to expect, in tokens."""
        own = math.log(max(1, estimated_tokens))
        self._usual.add(own)
        blended = self._usual.value + TRUST * (own - self._usual.value)
        return min(max_tokens, max(1, round(math.exp(blended))))
