"""Outcomes of streams, as several instances hear of them."""

from seam_model import forwarding
from seam_node import logs
from seam_node.forward import call_stats
from seam_node.forward import heartbeats
from seam_node.forward import stream_outcomes
from seam_policy import decode_choice
from seam_policy import kv_forecast

NOW = 100.0
ADDRESS = forwarding.Address("10.0.0.9", 80)
LIAR, SOUND = (
    forwarding.Endpoint(
        name, 1, ADDRESS, "engines", "here", 8, False, forwarding.Stage.DECODE
    )
    for name in ("liar", "sound")
)


class Instance:
    """One instance's view of two engines, the liar with the most room."""

    def __init__(self, name):
        self.entry = forwarding.InstanceEntry(name, 1, ADDRESS, ADDRESS, "here")
        self.stats = call_stats.CallStats()
        self.told = 0
        self.outcomes = stream_outcomes.StreamOutcomes(
            self.stats, self._tell, lambda: NOW, logs.Log(name)
        )

    def _tell(self):
        self.told += 1

    def beat(self):
        return heartbeats.Heartbeat(
            self.entry, True, 1, ended=self.outcomes.recent()
        )

    def choose(self):
        """Returns the engine that gets the next stream."""
        used = {LIAR.key: 0, SOUND.key: 30_000}
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
            for each in (LIAR, SOUND)
        ]
        added = kv_forecast.DemandProfile(1, _needs(7000))
        found = decode_choice.order(candidates, added, NOW)
        return LIAR if found[0].key == LIAR.key else SOUND


def _needs(tokens):
    return tuple(
        kv_forecast.Demand(tokens, 0.0) for _ in kv_forecast.HORIZONS_S
    )


def test_a_fleet_loses_few_streams_at_an_engine_that_fails_them_all():
    """Its health check is good and its room is never used up."""
    fleet = [Instance(f"i-{number}") for number in range(20)]
    for each in fleet:
        assert each.choose() is LIAR
    lost = 0
    for sender in fleet:
        engine = sender.choose()
        lost += engine is LIAR
        sender.outcomes.note(engine, failed=engine is LIAR, started=False)
        for other in fleet:
            if other is not sender:
                other.outcomes.take(sender.beat())
    assert lost <= 2


def test_a_failure_is_told_at_once_a_success_with_the_next_heartbeat():
    one = Instance("one")
    one.outcomes.note(SOUND, failed=False, started=True)
    assert one.told == 0
    one.outcomes.note(LIAR, failed=True, started=False)
    assert one.told == 1
    assert [each.failed for each in one.beat().ended] == [False, True]


def test_an_outcome_counts_once_however_often_it_is_told():
    one, two = Instance("one"), Instance("two")
    two.stats.call(LIAR)
    one.outcomes.note(LIAR, failed=True, started=False)
    shares = []
    for _ in range(3):
        two.outcomes.take(one.beat())
        shares.append(two.stats.call(LIAR).failure_share(NOW))
    assert shares == [call_stats.ENGINE_GAIN] * 3


def test_a_success_elsewhere_counts_as_well():
    one, two = Instance("one"), Instance("two")
    two.stats.call(LIAR).add_outcome(0.0, True, NOW)
    one.outcomes.note(LIAR, failed=False, started=True)
    two.outcomes.take(one.beat())
    share = two.stats.call(LIAR).failure_share(NOW)
    assert share < call_stats.ENGINE_GAIN


def test_broken_connections_of_one_instance_blame_no_engine_elsewhere():
    """All open connections of an instance are reset at once."""
    one, two = Instance("one"), Instance("two")
    two.stats.call(SOUND)
    for _ in range(5):
        one.outcomes.note(SOUND, failed=True, started=True)
    two.outcomes.take(one.beat())
    assert two.stats.call(SOUND).failure_share(NOW) == 0.0
    assert one.stats.call(SOUND).failure_share(NOW) > 0.5
