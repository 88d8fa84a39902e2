"""Knows how recent the configuration in force is proved to be.

The proof comes from the store, as the send time of an answered call, or from
the feed of another instance, which echoes this instance's clock readings.
"""

from collections.abc import Callable

from seam_node.forward.fleet import peers
from seam_node.forward.store import catalog_state
from seam_node.forward.store import catalog_watch
from seam_node.forward.store import feed_codec
from seam_node.forward.store import store_link
from seam_policy import configuration_proof
from seam_policy import time_bounds

FIRST_ERA = 1
"""Era of a store that was never restored from a copy."""
ANNOUNCED_INTERVAL_S = 0.1
"""Interval at which the versions of other instances are compared, so that the
cost of a request does not grow with the fleet."""


class RoutesProof:
    """Holds the proof and decides whether keys may be accepted."""

    def __init__(
        self,
        routes: catalog_state.Routes,
        watch: catalog_watch.CatalogWatch,
        link: store_link.StoreLink,
        heartbeats: Callable[[], list[peers.ReceivedHeartbeat]],
        revoke_s: float,
        now: Callable[[], float],
    ):
        """Starts without a proof and listens to the watch.

        Args:
            routes: the configuration in force.
            watch: applies the store's configurations.
            link: knows the store's era.
            heartbeats: returns the latest heartbeats of live instances.
            revoke_s: seconds after which a withdrawn key must not be accepted;
                0 for no limit.
            now: a clock that includes suspended time.
        """
        self._routes = routes
        self._watch = watch
        self._link = link
        self._heartbeats = heartbeats
        self._max_age_s = time_bounds.key_proof_s(revoke_s)
        self._now = now
        self.proved_at = configuration_proof.NEVER
        """Time up to which the configuration has all that the store
        acknowledged."""
        self._restored_at = now()
        """Time of the start or of the last restore of the store."""
        self._first_proof_at: float | None = None
        """Time of the first proof since then."""
        self._announced = 0
        """Newest version that other instances announced at `_announced_at`."""
        self._announced_at = configuration_proof.NEVER
        watch.on_applied = self.note_store_answer
        link.on_restored.append(self.on_store_restored)

    @property
    def is_needed(self) -> bool:
        """Whether keys depend on a proof."""
        return self._max_age_s > 0

    def note_store_answer(self, sent_at: float, era: int) -> None:
        """Records an answered call of the store that has been applied.

        Args:
            sent_at: time at which the call was sent.
            era: era of the store that answered.
        """
        if not self._routes.is_superseded:
            self._note(sent_at, era)

    def note_echo(self, echo: feed_codec.Echo, era: int) -> None:
        """Records the echo of a feed whose frames have been applied.

        Args:
            echo: the echo.
            era: era of the store that the feed's source knows.
        """
        if echo.version <= self._routes.version():
            self._note(self._proved_by(echo), era)

    def on_store_restored(self) -> None:
        """Drops the proof, which says nothing about a restored store."""
        self.proved_at = configuration_proof.NEVER
        self._restored_at = self._now()
        self._first_proof_at = None
        self._routes.forget_unreadable()

    def echo(self, reading: float) -> feed_codec.Echo | None:
        """Returns the echo of a follower's reading; None without a proof."""
        if self.proved_at == configuration_proof.NEVER:
            return None
        return feed_codec.Echo(reading, self.age_s(), self._routes.version())

    def is_feed_enough(self, echo: feed_codec.Echo | None) -> bool:
        """Returns whether a feed's echo makes store calls needless."""
        if not self.is_needed:
            return True
        if echo is None or echo.version > self._routes.version():
            return False
        return configuration_proof.feed_is_enough(
            self._now(), self._proved_by(echo), self._max_age_s
        )

    def age_s(self) -> float:
        """Returns the age of the proof in seconds; infinite without one."""
        return self._now() - self.proved_at

    def keys_proved(self) -> bool:
        """Returns whether keys may be accepted now."""
        if not self.is_needed:
            return True
        return configuration_proof.may_accept_keys(
            self._now(),
            self._max_age_s,
            configuration_proof.Evidence(
                self.proved_at,
                self._routes.version(),
                self._newest_announced(),
                self._peers_had_time(),
            ),
        )

    def is_up_to_date(self, watch_wait_s: float) -> bool:
        """Returns whether a route or key that is not known does not exist.

        A store that was just restored may show an older configuration than
        the one that peers have had from it.

        Args:
            watch_wait_s: longest wait of a watch, in seconds.
        """
        if self._routes.version() < self._find_newest_announced():
            return False
        return self._watch.age_s() <= time_bounds.up_to_date_s(watch_wait_s)

    def _note(self, proved_at: float, era: int) -> None:
        if era < self._link.era or proved_at <= self.proved_at:
            return
        self.proved_at = proved_at
        if self._first_proof_at is None:
            self._first_proof_at = self._now()

    def _proved_by(self, echo: feed_codec.Echo) -> float:
        return configuration_proof.proved_by_echo(
            echo.reading, echo.age_s, self._now()
        )

    def _peers_had_time(self) -> bool:
        if self._link.era <= FIRST_ERA:
            return True
        if self._first_proof_at is None:
            return False
        now = self._now()
        since_s = now - self._restored_at
        heard = sum(each.age_s <= since_s for each in self._heartbeats())
        return configuration_proof.peers_had_time(
            now - self._first_proof_at, heard
        )

    def _newest_announced(self) -> int:
        now = self._now()
        if now - self._announced_at >= ANNOUNCED_INTERVAL_S:
            self._announced_at = now
            self._announced = self._find_newest_announced()
        return self._announced

    def _find_newest_announced(self) -> int:
        return max(
            (each.heartbeat.routes_version for each in self._heartbeats()),
            default=0,
        )
