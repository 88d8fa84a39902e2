"""Decides until when a leaving instance may begin to run a model request.

A stream that begins late is cut off when the instance exits, while another
instance could have served it whole. This handles planned restarts under load,
in which requests wait for a place.
"""

MAX_PREFILL_S = 1.0
"""Assumed upper bound of the time from a place, or from arrival without a
queue, to the first event."""
STREAM_MARGIN_SHARE = 0.2
"""Share by which a stream may take longer than at the average rate."""


def latest_start(exit_at: float, stream_s: float, is_placed: bool) -> float:
    """Returns the time until which a request may begin to run.

    Args:
        exit_at: time at which the instance exits.
        stream_s: longest duration of the stream at the average rate.
        is_placed: whether the request has its place at an engine.
    """
    needed_s = stream_s * (1.0 + STREAM_MARGIN_SHARE)
    if not is_placed:
        needed_s += MAX_PREFILL_S
    return exit_at - needed_s
