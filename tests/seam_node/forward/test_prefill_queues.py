"""Queues at prefill engines, as several instances see them."""

from seam_model import forwarding
from seam_node.forward import call_stats
from seam_node.forward import heartbeats
from seam_node.forward import prefill_queues
from seam_node.forward import recent_events
from seam_policy import prefill_choice

PROMPT = 5000
MESSAGE_S = 0.005


class Clock:
    """Time that stands still until it is moved."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def engine(name):
    return forwarding.Endpoint(
        id=name,
        service="engines",
        address=forwarding.Address("10.0.0.9", 80),
        data_centre="here",
        slots=8,
        draining=False,
        started_ms=1,
        stage=forwarding.Stage.PREFILL,
    )


class Instance:
    """One instance's view of the prefill engines."""

    def __init__(self, name, engines, clock):
        self.name = name
        self.engines = {each.key: each for each in engines}
        self.stats = call_stats.CallStats()
        self.clock = clock
        self.told = 0
        self.queues = prefill_queues.PrefillQueues(
            self.stats, self._tell, clock
        )
        for each in engines:
            self.stats.prefill(each)

    def _tell(self):
        self.told += 1

    def beat(self, incarnation=1):
        address = forwarding.Address("10.0.0.1", 80)
        entry = forwarding.InstanceEntry(
            self.name, incarnation, address, address, "here"
        )
        return heartbeats.Heartbeat(
            entry, True, 1, prefills=self.queues.recent()
        )

    def prefill(self):
        """Sends a prompt; returns the key of the engine."""
        chosen = prefill_choice.choose(
            [
                prefill_choice.PrefillCandidate(
                    each.key, 0.0, True, self.stats.prefill(each)
                )
                for each in self.engines.values()
            ],
            PROMPT,
            self.clock(),
        )
        self.queues.send(self.engines[chosen.key], PROMPT)
        return chosen.key


def test_a_fleet_in_which_each_sends_few_prompts_spreads_them():
    """Without each other's messages all would choose the first engine."""
    clock = Clock()
    engines = [engine(f"p-{number}") for number in range(5)]
    fleet = [Instance(f"i-{number}", engines, clock) for number in range(20)]
    counts = dict.fromkeys((each.key for each in engines), 0)
    for sender in fleet:
        counts[sender.prefill()] += 1
        clock.now += MESSAGE_S
        for other in fleet:
            if other is not sender:
                other.queues.take(sender.beat())
    assert max(counts.values()) - min(counts.values()) <= 1


def test_a_prompt_is_booked_once_however_often_it_is_told():
    clock = Clock()
    engines = [engine("p-0")]
    one, two = (Instance(name, engines, clock) for name in ("one", "two"))
    one.prefill()
    assert one.told == 1
    for _ in range(3):
        two.queues.take(one.beat())
    record = two.stats.prefill(engines[0])
    alone_s = PROMPT / prefill_choice.INITIAL_TOKENS_PER_S
    assert record.queued_s(clock()) == alone_s


def test_a_new_life_of_an_instance_counts_anew():
    clock = Clock()
    engines = [engine("p-0")]
    one, two = (Instance(name, engines, clock) for name in ("one", "two"))
    one.prefill()
    one.prefill()
    two.queues.take(one.beat(incarnation=1))
    again = Instance("one", engines, clock)
    again.prefill()
    two.queues.take(again.beat(incarnation=2))
    alone_s = PROMPT / prefill_choice.INITIAL_TOKENS_PER_S
    waits_s = two.stats.prefill(engines[0]).queued_s(clock())
    assert round(waits_s / alone_s) == 3


def test_old_prompts_are_told_no_more():
    clock = Clock()
    one = Instance("one", [engine("p-0")], clock)
    one.prefill()
    clock.now += recent_events.RECENT_S + 0.1
    assert one.queues.recent() == ()


def test_an_engine_that_ended_is_passed_over():
    clock = Clock()
    one = Instance("one", [engine("p-0")], clock)
    two = Instance("two", [], clock)
    one.prefill()
    two.queues.take(one.beat())
    assert two.stats.known_prefill(engine("p-0").key) is None
