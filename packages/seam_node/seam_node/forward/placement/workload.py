"""Estimates the average size and speed of model requests of the fleet."""

from collections.abc import Callable

import attrs

from seam_model import forward_settings
from seam_node.forward.fleet import messages
from seam_policy import estimate
from seam_policy import stage_balance

GAIN = 0.02
MIN_SAMPLES = 40
"""Samples of each figure, over all instances, from which a load is known."""
KEEP_PEER_S = 30.0
"""Time for which the figures of an instance that fell silent are used."""
REUSE_S = 0.1
"""Age up to which the averages are used again, in seconds. They are needed for
each queued request, and pooling them takes a look at each instance."""


@attrs.frozen
class _PeerMeans:
    means: messages.WorkloadMeans
    received_at: float


class WorkloadEstimate:
    """Pools what this instance observes with what the others report.

    One instance of a large fleet sees few requests. Until there are samples,
    the figures of the settings are used.
    """

    def __init__(
        self,
        expected: forward_settings.WorkloadSettings,
        now: Callable[[], float],
    ):
        """Takes the figures expected before any request, and the clock."""
        self._expected = expected
        self._now = now
        self._prompt_tokens = estimate.RunningMean(GAIN)
        self._output_tokens = estimate.RunningMean(GAIN)
        self._output_tokens_s = estimate.RunningMean(GAIN)
        self._prefill_tokens_s = estimate.MedianRate(expected.prefill_tokens_s)
        self._peers: dict[str, _PeerMeans] = {}
        self._current: stage_balance.Workload | None = None
        self._current_at = float("-inf")

    def record_arrival(self, prompt_tokens: int, output_tokens: float) -> None:
        """Records the sizes of a request; that of its output is expected.

        Outputs are not recorded when they end: the first ones to end are the
        short ones.
        """
        self._prompt_tokens.add(prompt_tokens)
        self._output_tokens.add(output_tokens)

    def record_output_rate(self, tokens: float, seconds: float) -> None:
        """Records how fast a stream generated some tokens."""
        if tokens > 0 and seconds > 0:
            self._output_tokens_s.add(tokens / seconds)

    def record_prefill_rate(self, tokens_s: float) -> None:
        """Records the rate of an engine after a prefill."""
        self._prefill_tokens_s.add(tokens_s, 1.0)

    def own(self) -> messages.WorkloadMeans:
        """Returns what this instance observed, for its messages."""
        return messages.WorkloadMeans(
            self._prompt_tokens.mean,
            self._output_tokens.mean,
            self._output_tokens_s.mean,
            self._prefill_tokens_s.mean(),
        )

    def merge(self, peer: str, means: messages.WorkloadMeans) -> None:
        """Records what another instance observed."""
        self._peers[peer] = _PeerMeans(means, self._now())

    @property
    def output_tokens_s(self) -> float:
        """Average output tokens per second of one stream."""
        return self.current().output_tokens_s

    def current(self) -> stage_balance.Workload:
        """Returns the current averages, which are up to `REUSE_S` old."""
        now = self._now()
        if self._current is None or now - self._current_at > REUSE_S:
            self._current = self._pooled()
            self._current_at = now
        return self._current

    def _pooled(self) -> stage_balance.Workload:
        all_means = self._all()
        return stage_balance.Workload(
            *(
                estimate.pooled_mean(
                    (getattr(each, name) for each in all_means),
                    getattr(self._expected, name),
                )
                for name in _FIGURES
            )
        )

    def expected(self) -> stage_balance.Workload:
        """Returns the averages assumed before any request."""
        return stage_balance.Workload(
            *(getattr(self._expected, name) for name in _FIGURES)
        )

    def is_known(self) -> bool:
        """Returns whether enough requests were observed to act on them."""
        all_means = self._all()
        return all(
            sum(getattr(each, name).weight for each in all_means) >= MIN_SAMPLES
            for name in _FIGURES
        )

    def _all(self) -> list[messages.WorkloadMeans]:
        oldest = self._now() - KEEP_PEER_S
        for name, peer in tuple(self._peers.items()):
            if peer.received_at < oldest:
                del self._peers[name]
        return [self.own(), *(peer.means for peer in self._peers.values())]


_FIGURES = tuple(field.name for field in attrs.fields(messages.WorkloadMeans))
