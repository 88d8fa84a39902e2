"""Metrics of one instance.

No label holds a request id, and labels name a limited number of workspaces, so
that cardinality stays limited.
"""

from collections.abc import Callable

import prometheus_client

_TIME_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.35,
    0.49,
    0.75,
    1.0,
    2.0,
    5.0,
    15.0,
    60.0,
)


class Metrics:
    """Counters, histograms and gauges in a separate registry."""

    def __init__(self) -> None:
        """Creates all metrics."""
        self.registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            "seam_requests_total",
            "Requests that ended.",
            ("kind", "rank", "outcome"),
            registry=self.registry,
        )
        self._request_s = prometheus_client.Histogram(
            "seam_request_seconds",
            "Time from arrival to the end.",
            ("kind", "rank"),
            buckets=_TIME_BUCKETS_S,
            registry=self.registry,
        )
        self._first_token_s = prometheus_client.Histogram(
            "seam_first_token_seconds",
            "Time from arrival to the first token.",
            ("rank",),
            buckets=_TIME_BUCKETS_S,
            registry=self.registry,
        )
        self._tokens = prometheus_client.Counter(
            "seam_tokens_total",
            "Tokens sent.",
            registry=self.registry,
        )
        self._prefill = prometheus_client.Counter(
            "seam_prefill_tokens_total",
            "Prompt tokens ordered to be prefilled.",
            registry=self.registry,
        )
        self._wasted = prometheus_client.Counter(
            "seam_prefill_wasted_tokens_total",
            "Prompt tokens whose prefill was thrown away.",
            registry=self.registry,
        )

        self._retries = self._counter(
            "seam_retries_total", "Repeated attempts.", "kind"
        )
        self._platform = self._counter(
            "seam_platform_calls_total",
            "Calls to the platform that ended.",
            "operation",
            "outcome",
        )
        self._denied = self._counter(
            "seam_operator_denied_total",
            "Operators' denied tries.",
            "reason",
        )
        self._actions = self._counter(
            "seam_operator_actions_total",
            "Operators' actions.",
            "action",
        )
        self._refused = self._counter(
            "seam_peers_refused_total",
            "Strangers refused as peers.",
            "code",
        )
        self._reaped = self._counter(
            "seam_streams_reaped_total",
            "Streams cancelled for no holder.",
        )
        self._streams_lost = self._counter(
            "seam_streams_lost_total",
            "Streams that broke off at an engine.",
            "started",
        )
        self._connections = self._counter(
            "seam_connections_refused_total",
            "Callers' connections closed for being too many.",
        )
        self._client_connections = self._counter(
            "seam_client_connections_closed_total",
            "Clients' connections closed by a limit.",
            "port",
            "reason",
        )

    def _counter(
        self, name: str, help_text: str, *labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            name, help_text, labels, registry=self.registry
        )

    def gauge(
        self, name: str, help_text: str, source: Callable[[], float]
    ) -> None:
        """Adds a gauge whose value is read from `source` at each scrape."""
        gauge = prometheus_client.Gauge(name, help_text, registry=self.registry)
        gauge.set_function(source)

    def request_ended(
        self, kind: str, rank: str, outcome: str, took_s: float
    ) -> None:
        """Counts a finished request and records its duration."""
        rank = rank or "none"
        self._requests.labels(kind, rank, outcome).inc()
        self._request_s.labels(kind, rank).observe(took_s)

    def first_token(self, rank: str, took_s: float) -> None:
        """Records the time until a request's first token."""
        self._first_token_s.labels(rank).observe(took_s)

    def stream_lost(self, started: bool) -> None:
        """Counts a stream that broke off at an engine.

        Args:
            started: whether the engine had sent an event of it.
        """
        self._streams_lost.labels("yes" if started else "no").inc()

    def tokens_sent(self, count: int) -> None:
        """Counts tokens sent to callers."""
        self._tokens.inc(count)

    def prefill_ordered(self, tokens: int) -> None:
        """Counts prompt tokens that an engine was asked to prefill."""
        self._prefill.inc(tokens)

    def prefill_wasted(self, tokens: int) -> None:
        """Counts prompt tokens whose prefill result was discarded."""
        self._wasted.inc(tokens)

    def retried(self, kind: str, count: int) -> None:
        """Counts the retries of a request."""
        self._retries.labels(kind).inc(count)

    def platform_call(self, operation: str, outcome: str) -> None:
        """Counts a finished call to the platform."""
        self._platform.labels(operation, outcome).inc()

    def operator_denied(self, reason: str) -> None:
        """Counts a denied operator request; `reason` is an error code."""
        self._denied.labels(reason).inc()

    def operator_action(self, action: str) -> None:
        """Counts an action performed by an operator."""
        self._actions.labels(action).inc()

    def peer_refused(self, code: str) -> None:
        """Counts a peer connection that failed authentication."""
        self._refused.labels(code).inc()

    def stream_reaped(self) -> None:
        """Counts an engine stream cancelled because no instance held it."""
        self._reaped.inc()

    def connection_refused(self) -> None:
        """Counts a caller connection closed at the connection limit."""
        self._connections.inc()

    def client_connections_closed(
        self, port: str, reason: str, count: int
    ) -> None:
        """Counts connections of clients that were closed by a limit."""
        self._client_connections.labels(port, reason).inc(count)

    def outcomes(self) -> dict[str, int]:
        """Returns the requests finished since the start, by outcome."""
        counts: dict[str, int] = {}
        for sample in self._requests.collect()[0].samples:
            if sample.name.endswith("_total"):
                outcome = sample.labels["outcome"]
                counts[outcome] = counts.get(outcome, 0) + int(sample.value)
        return counts

    def text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
