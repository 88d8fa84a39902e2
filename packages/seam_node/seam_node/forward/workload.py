"""Estimates the average size and speed of model requests."""

from seam_model import forward_settings
from seam_policy import estimate
from seam_policy import stage_balance

EWMA_GAIN = 0.03


class WorkloadEstimate:
    """Moving averages over completed streams, starting from the settings."""

    def __init__(self, expected: forward_settings.WorkloadSettings):
        """Takes the averages expected before the first stream."""
        self._prompt_tokens = _average(expected.prompt_tokens)
        self._output_tokens = _average(expected.output_tokens)
        self._output_tokens_s = _average(expected.output_tokens_s)
        self._prefill_tokens_s = expected.prefill_tokens_s

    def record_stream(
        self, prompt_tokens: int, output_tokens: int, seconds: float
    ) -> None:
        """Records a completed stream and the duration of its output."""
        self._prompt_tokens.add(prompt_tokens)
        self._output_tokens.add(output_tokens)
        if seconds > 0 and output_tokens > 0:
            self._output_tokens_s.add(output_tokens / seconds)

    @property
    def output_tokens_s(self) -> float:
        """Average output tokens per second of one stream."""
        return self._output_tokens_s.value

    def current(self) -> stage_balance.Workload:
        """Returns the current averages."""
        return stage_balance.Workload(
            self._prompt_tokens.value,
            self._output_tokens.value,
            self._output_tokens_s.value,
            self._prefill_tokens_s,
        )


def _average(expected: float) -> estimate.Ewma:
    """Returns an average that contains the expected value as a sample."""
    average = estimate.Ewma(expected, gain=EWMA_GAIN)
    average.add(expected)
    return average
