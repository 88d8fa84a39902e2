"""Tests of the outcomes of streams, shared by several instances."""

from seam_model import forwarding
from seam_node import logs
from seam_node.forward import call_stats
from seam_node.forward import heartbeats
from seam_node.forward import stream_outcomes
from seam_policy import decode_choice
from seam_policy import kv_forecast

NOW = 100.0
ADDRESS = forwarding.Address("10.0.0.9", 80)
FAILING, HEALTHY = (
    forwarding.Endpoint(
        name, 1, ADDRESS, "engines", "here", 8, False, forwarding.Stage.DECODE
    )
    for name in ("liar", "sound")
)


class Instance:
    """One instance's view of two engines; the failing one has more capacity."""

    def __init__(self, name):
        self.entry = forwarding.InstanceEntry(name, 1, ADDRESS, ADDRESS, "here")
        self.stats = call_stats.CallStats()
        self.notification_count = 0
        self.outcomes = stream_outcomes.StreamOutcomes(
            self.stats, self._notify_peers, lambda: NOW, logs.Log(name)
        )

    def _notify_peers(self):
        self.notification_count += 1

    def make_heartbeat(self):
        return heartbeats.Heartbeat(
            self.entry, True, 1, ended=self.outcomes.recent()
        )

    def choose(self):
        """Returns the engine that gets the next stream."""
        used = {FAILING.key: 0, HEALTHY.key: 30_000}
        candidates = [
            decode_choice.DecodeCandidate(
                each.key,
                8,
                70_000,
                kv_forecast.DemandProfile(1, _needs(used[each.key])),
                True,
                0.0,
                self.stats.call(each).failure_share(NOW),
            )
            for each in (FAILING, HEALTHY)
        ]
        added = kv_forecast.DemandProfile(1, _needs(7000))
        found = decode_choice.order(candidates, added, NOW)
        return FAILING if found[0].key == FAILING.key else HEALTHY


def _needs(tokens):
    return tuple(
        kv_forecast.Demand(tokens, 0.0) for _ in kv_forecast.HORIZONS_S
    )


def test_few_streams_are_lost_at_an_engine_that_fails_them_all():
    """Guards against every instance losing streams at the same engine.

    The engine's health check passes, and as its streams fail immediately it
    always has free capacity.
    """
    fleet = [Instance(f"i-{number}") for number in range(20)]
    for each in fleet:
        assert each.choose() is FAILING
    lost_streams = 0
    for sender in fleet:
        engine = sender.choose()
        lost_streams += engine is FAILING
        sender.outcomes.record(engine, failed=engine is FAILING, started=False)
        for other in fleet:
            if other is not sender:
                other.outcomes.merge(sender.make_heartbeat())
    assert lost_streams <= 2


def test_a_failure_is_sent_immediately_a_success_with_the_next_heartbeat():
    one = Instance("one")
    one.outcomes.record(HEALTHY, failed=False, started=True)
    assert one.notification_count == 0
    one.outcomes.record(FAILING, failed=True, started=False)
    assert one.notification_count == 1
    assert [each.failed for each in one.make_heartbeat().ended] == [False, True]


def test_a_repeated_outcome_is_counted_once():
    one, two = Instance("one"), Instance("two")
    two.stats.call(FAILING)
    one.outcomes.record(FAILING, failed=True, started=False)
    shares = []
    for _ in range(3):
        two.outcomes.merge(one.make_heartbeat())
        shares.append(two.stats.call(FAILING).failure_share(NOW))
    assert shares == [call_stats.ENGINE_GAIN] * 3


def test_a_success_at_another_instance_counts():
    one, two = Instance("one"), Instance("two")
    two.stats.call(FAILING).add_outcome(0.0, True, NOW)
    one.outcomes.record(FAILING, failed=False, started=True)
    two.outcomes.merge(one.make_heartbeat())
    share = two.stats.call(FAILING).failure_share(NOW)
    assert share < call_stats.ENGINE_GAIN


def test_connection_resets_of_one_instance_are_not_shared():
    """Guards against blaming engines for an instance's network failure.

    All open connections of the instance are reset at once.
    """
    one, two = Instance("one"), Instance("two")
    two.stats.call(HEALTHY)
    for _ in range(5):
        one.outcomes.record(HEALTHY, failed=True, started=True)
    two.outcomes.merge(one.make_heartbeat())
    assert two.stats.call(HEALTHY).failure_share(NOW) == 0.0
    assert one.stats.call(HEALTHY).failure_share(NOW) > 0.5
