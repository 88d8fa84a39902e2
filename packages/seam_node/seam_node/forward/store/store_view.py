"""What an instance knows of the store's routes and endpoints.

They come from the store itself or from the feed of another instance; it also
passes them on to instances that follow it.
"""

from collections.abc import Callable

from seam_model import forward_settings
from seam_model import forwarding
from seam_node import logs
from seam_node.adapters import client_server
from seam_node.forward.fleet import coordinators
from seam_node.forward.fleet import peers
from seam_node.forward.store import catalog_state
from seam_node.forward.store import catalog_watch
from seam_node.forward.store import feed_board
from seam_node.forward.store import feed_client
from seam_node.forward.store import feed_codec
from seam_node.forward.store import feed_server
from seam_node.forward.store import routes_proof
from seam_node.forward.store import store_link
from seam_node.ports import catalog
from seam_policy import endpoint_signs
from seam_policy import time_bounds

FIRST_WATCH_DELAY_S = 1.0
"""Pause before the first watch, in which a feed may be found instead."""


class StoreView:
    """The routes and endpoints, and what keeps them up to date."""

    def __init__(
        self,
        settings: forward_settings.ForwardSettings,
        source: catalog.Catalog,
        heartbeats: Callable[[], list[peers.ReceivedHeartbeat]],
        count_outcome: Callable[[str], None],
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Starts with no objects.

        Args:
            settings: the settings of the instance.
            source: the store.
            heartbeats: returns the latest heartbeats of live instances.
            count_outcome: counts the outcome of each call of the store.
            now: a clock that includes suspended time.
            log: the log.
        """
        self._source = source
        self._now = now
        self._log = log
        ms_per_s = forward_settings.MS_PER_S
        self._watch_wait_s = time_bounds.watch_wait_s(
            settings.store.settle_ms / ms_per_s
        )
        self._apply_s = settings.store.apply_ms / ms_per_s
        self._board = feed_board.FeedBoard()
        self.routes = catalog_state.Routes(log)
        self.signs = endpoint_signs.EndpointSigns()
        self.endpoints = catalog_state.Endpoints(log, now, self.signs)
        self.link = store_link.StoreLink(
            now,
            log,
            count_outcome,
            lambda: self.feed_client.connected,
            time_bounds.unconfirmed_s(settings.store.announce_ms / ms_per_s),
        )
        revoke_s = settings.keys.revoke_ms / ms_per_s
        max_wait_s = time_bounds.key_proof_wait_s(revoke_s)
        self.routes_watch = self._watch(
            catalog.Kind.ROUTES,
            self.routes,
            lambda: min(max_wait_s, self._current_wait_s()),
        )
        self.endpoints_watch = self._watch(
            catalog.Kind.ENDPOINTS, self.endpoints, self._current_wait_s
        )
        self.proof = routes_proof.RoutesProof(
            self.routes,
            self.routes_watch,
            self.link,
            heartbeats,
            revoke_s,
            now,
        )

    def make_feeds(
        self,
        entry: forwarding.InstanceEntry,
        order: coordinators.Coordinators,
        max_feeds: int,
        on_closed: client_server.OnClosed,
    ) -> None:
        """Creates the feed of another instance and those to followers.

        Args:
            entry: this instance.
            order: which instances provide feeds.
            max_feeds: most followers at once.
            on_closed: called when connections of followers were closed by the
                limit.
        """
        watches = {
            catalog.Kind.ROUTES: self.routes_watch,
            catalog.Kind.ENDPOINTS: self.endpoints_watch,
        }
        self.feed_client = feed_client.FeedClient(
            entry.name,
            watches,
            order,
            lambda: self._board.subscriber_count,
            time_bounds.source_max_age_s(self._apply_s),
            self.proof,
            self._now,
            self._log,
        )
        self.feed_server = feed_server.FeedServer(
            entry.peers,
            self._board,
            lambda: tuple(
                feed_codec.Status(kind, watch.known_position, watch.age_s())
                for kind, watch in watches.items()
            ),
            self.proof.echo,
            time_bounds.source_wait_s(self._apply_s) / 2,
            self._log,
            max_feeds,
            on_closed,
        )

    def is_up_to_date(self) -> bool:
        """Returns whether a route or key that is not known does not exist."""
        return self.proof.is_up_to_date(self._watch_wait_s)

    async def read_anew(self) -> None:
        """Reads all objects again, as after a suspension."""
        await self.feed_client.restart()
        for each in (self.routes_watch, self.endpoints_watch):
            await each.restart()

    def _watch(
        self,
        kind: catalog.Kind,
        listener: catalog_watch.ChangeListener,
        wait_s: Callable[[], float],
    ) -> catalog_watch.CatalogWatch:
        return catalog_watch.CatalogWatch(
            kind,
            self._source,
            listener,
            self.link,
            wait_s,
            self._now,
            FIRST_WATCH_DELAY_S,
            self._board,
        )

    def _current_wait_s(self) -> float:
        """Returns how long a watch waits, shorter if others depend on it."""
        if self._board.subscriber_count:
            return time_bounds.source_wait_s(self._apply_s)
        return self._watch_wait_s
