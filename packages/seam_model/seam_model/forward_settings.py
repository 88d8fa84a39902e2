"""Settings of an instance that forwards by routes, read from TOML."""

import pathlib
from typing import Any

import attrs
import expression

from seam_model import errors
from seam_model import forwarding
from seam_model import toml_check

_ADDRESS_PATTERN = r"[0-9.]+:[0-9]{1,5}"
_ADDRESS_ALLOWED = "an IPv4 address and a port, as host:port"
_LEVELS = "debug|info|warning|error"
BYTES_PER_MB = 1_000_000
MS_PER_S = 1000.0
DEFAULTS = "defaults_forward.toml"
MIN_GRACE_S = 0.5
"""A process needs this time to close its connections and exit."""


def _address() -> Any:
    return toml_check.checked_field(
        pattern=_ADDRESS_PATTERN, allowed=_ADDRESS_ALLOWED
    )


def _text() -> Any:
    return toml_check.checked_field(pattern=r".+", allowed="a non-empty text")


def parse_address(text: str) -> forwarding.Address:
    """Returns the address in `host:port` form."""
    host, _, port = text.rpartition(":")
    return forwarding.Address(host, int(port))


@attrs.frozen
class InstanceSettings:
    """Identity of this instance."""

    name: str = _text()
    data_centre: str = _text()


@attrs.frozen
class CapacitySettings:
    """Processor and memory of this instance."""

    core_share: float = toml_check.checked_field(above=0, high=1024)
    """Share of a core that the process may use."""
    core_speed: float = toml_check.checked_field(above=0, high=1024)
    """Speed of that core, relative to the slowest kind."""
    memory_mb: float = toml_check.checked_field(above=0, high=2**20)
    """Private memory beyond which the process is killed."""
    max_open_files: int = toml_check.checked_field(low=64, high=2**20)
    """File descriptors that the process may have open."""

    def memory_bytes(self) -> int:
        """Returns the private memory beyond which the process is killed."""
        return int(self.memory_mb * BYTES_PER_MB)

    def cores(self) -> float:
        """Returns the capacity, relative to one core of the slowest kind."""
        return self.core_share * self.core_speed


@attrs.frozen
class ListenSettings:
    """Addresses on which the instance listens."""

    callers: str = _address()
    """Callers' requests."""
    ready: str = _address()
    """Readiness checks."""
    entry: str = _address()
    """Entry queries: which instances a caller should use."""
    metrics: str = _address()
    """Counters and histograms in Prometheus text format."""
    peers: str = _address()
    """Datagrams (UDP) from other instances."""


@attrs.frozen
class ClientSettings:
    """Limits on clients' connections.

    The largest shares of descriptors leave a tenth for endpoints.
    """

    callers_share: float = toml_check.checked_field(above=0, high=0.5)
    """Share of the descriptors for callers' connections."""
    feeds_share: float = toml_check.checked_field(above=0, high=0.25)
    """Share for the feeds to other instances."""
    entry_share: float = toml_check.checked_field(above=0, high=0.1)
    """Share for entry queries."""
    probes_share: float = toml_check.checked_field(above=0, high=0.025)
    """Share for readiness checks, and as much for metrics."""
    memory_share: float = toml_check.checked_field(above=0, high=0.5)
    """Share of the memory that callers' connections may take."""
    read_ahead_bytes: int = toml_check.checked_field(low=1024, high=65536)
    """Bytes that are read of a connection before the request needs them."""
    side_body_bytes: int = toml_check.checked_field(low=0, high=2**20)
    """Largest body of a readiness check, an entry query or a metrics query."""
    unread_s: float = toml_check.checked_field(above=20, high=3600)
    """Seconds after which a client is disconnected whose socket takes nothing
    of what is buffered for it. Callers with an unread answer are disconnected
    earlier."""


@attrs.frozen
class StoreSettings:
    """Address of the platform's store."""

    address: str = _address()
    settle_ms: float = toml_check.checked_field(above=0, high=3_600_000)
    """Time after a disruption of the store or of this instance within which
    the instance must follow all changes again, in milliseconds."""
    apply_ms: float = toml_check.checked_field(above=0, high=3_600_000)
    """Time within which a change of the store must be in force, in
    milliseconds."""
    announce_ms: float = toml_check.checked_field(above=0, high=3_600_000)
    """Interval between the announcements of an endpoint, in milliseconds."""


@attrs.frozen
class KeySettings:
    """Workspace keys."""

    revoke_ms: float = toml_check.checked_field(high=3_600_000)
    """Time after which a revoked key must not be accepted, also by a
    partitioned instance, in milliseconds; 0 for no bound."""


@attrs.frozen
class QuotaSettings:
    """Limits that quotas of workspaces have to keep."""

    window_s: float = toml_check.checked_field(above=0, high=3600)
    """Length of the sliding window in which use is limited, in seconds."""
    overage: float = toml_check.checked_field(high=1)
    """Share by which use in a window may exceed the quota."""
    slack: float = toml_check.checked_field()
    """Tokens by which use in a window may exceed the quota on top of that."""


@attrs.frozen
class OrderSettings:
    """Orders to engines, which only the holder of a lease may send."""

    handover_ms: float = toml_check.checked_field(high=3_600_000)
    """Minimum time between orders of two holders, in milliseconds."""


@attrs.frozen
class LogSettings:
    """Log level and limits on the log's volume."""

    level: str = toml_check.checked_field(pattern=_LEVELS, allowed=_LEVELS)
    max_queued_lines: int = toml_check.checked_field(low=1)
    """Lines queued while the reader of standard output is slow."""
    max_lines_per_s: int = toml_check.checked_field(low=1)
    """Lines per second that are written for one event name."""


@attrs.frozen
class EntrySettings:
    """Answers to entry queries."""

    cache_s: float = toml_check.checked_field(above=0, high=3600)
    """Time for which a caller may cache an answer."""
    max_cache_s: float = toml_check.checked_field(above=0, high=3600)
    """Longest time that callers accept; limits `cache_s`."""

    def effective_cache_s(self) -> float:
        """Returns the time to state in an answer."""
        return min(self.cache_s, self.max_cache_s)


@attrs.frozen
class RetrySettings:
    """Retry budget that all instances share."""

    ratio: float = toml_check.checked_field(high=1)
    """Retries per request."""
    allowance: float = toml_check.checked_field()
    """Additional retries in each window; may be a fraction, as it is shared by
    all instances."""
    window_s: float = toml_check.checked_field(above=0)


@attrs.frozen
class LeavingSettings:
    """Shutdown of an instance."""

    grace_s: float = toml_check.checked_field(above=MIN_GRACE_S)
    """Time from SIGTERM until the process is killed."""


@attrs.frozen
class DistanceSettings:
    """Network between data centres."""

    default_one_way_ms: float = toml_check.checked_field()


@attrs.frozen
class WorkloadSettings:
    """Typical model request, assumed until streams have been measured."""

    prompt_tokens: float = toml_check.checked_field(above=0)
    output_tokens: float = toml_check.checked_field(above=0)
    output_tokens_s: float = toml_check.checked_field(above=0)
    """Output tokens per second of one stream."""
    prefill_tokens_s: float = toml_check.checked_field(above=0)
    """Prompt tokens per second of one prefill engine."""


@attrs.frozen
class ForwardSettings:
    """All settings of an instance that forwards by routes."""

    instance: InstanceSettings
    capacity: CapacitySettings
    clients: ClientSettings
    listen: ListenSettings
    store: StoreSettings
    keys: KeySettings
    quotas: QuotaSettings
    orders: OrderSettings
    logs: LogSettings
    entry: EntrySettings
    retries: RetrySettings
    leaving: LeavingSettings
    distances: DistanceSettings
    workload: WorkloadSettings

    def one_way_s(self, data_centre: str) -> float:
        """Returns the one-way delay to a data centre, in seconds."""
        return self.one_way_between_s(self.instance.data_centre, data_centre)

    def one_way_between_s(self, source: str, target: str) -> float:
        """Returns the one-way delay between data centres, in seconds."""
        if source == target:
            return 0.0
        return self.distances.default_one_way_ms / MS_PER_S


def load(
    path: str | pathlib.Path,
) -> expression.Result[ForwardSettings, errors.SettingsInvalid]:
    """Returns the settings of a file, merged over the shipped defaults."""
    return toml_check.read(path).bind(from_plain)


def from_plain(
    plain: dict[str, Any],
) -> expression.Result[ForwardSettings, errors.SettingsInvalid]:
    """Returns the settings of plain tables, merged over the defaults."""
    checker = toml_check.Checker()
    settings = checker.build(
        ForwardSettings,
        toml_check.overlay(toml_check.shipped_defaults(DEFAULTS), plain),
    )
    if checker.problems or settings is None:
        return expression.Error(errors.SettingsInvalid(tuple(checker.problems)))
    return expression.Ok(settings)
