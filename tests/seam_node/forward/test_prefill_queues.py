"""Tests of the estimated prefill queues, shared by several instances."""

from seam_model import forwarding
from seam_node.forward import call_stats
from seam_node.forward import heartbeats
from seam_node.forward import prefill_queues
from seam_node.forward import recent_events
from seam_policy import prefill_choice

PROMPT = 5000
MESSAGE_DELAY_S = 0.005


class Clock:
    """A clock that advances only when it is set."""

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
        self.notification_count = 0
        self.queues = prefill_queues.PrefillQueues(
            self.stats, self._notify_peers, clock
        )
        for each in engines:
            self.stats.prefill(each)

    def _notify_peers(self):
        self.notification_count += 1

    def make_heartbeat(self, incarnation=1):
        address = forwarding.Address("10.0.0.1", 80)
        entry = forwarding.InstanceEntry(
            self.name, incarnation, address, address, "here"
        )
        return heartbeats.Heartbeat(
            entry, True, 1, prefills=self.queues.recent()
        )

    def prefill(self):
        """Records a prompt at the chosen engine; returns the engine's key."""
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
        self.queues.record_sent(self.engines[chosen.key], PROMPT)
        return chosen.key


def test_instances_with_few_prompts_each_spread_them_over_engines():
    """Guards against all instances choosing the same idle engine.

    Each instance sends a single prompt, so it knows the load only from the
    heartbeats of the others.
    """
    clock = Clock()
    engines = [engine(f"p-{number}") for number in range(5)]
    fleet = [Instance(f"i-{number}", engines, clock) for number in range(20)]
    counts = dict.fromkeys((each.key for each in engines), 0)
    for sender in fleet:
        counts[sender.prefill()] += 1
        clock.now += MESSAGE_DELAY_S
        for other in fleet:
            if other is not sender:
                other.queues.merge(sender.make_heartbeat())
    assert max(counts.values()) - min(counts.values()) <= 1


def test_a_repeated_prompt_is_counted_once():
    clock = Clock()
    engines = [engine("p-0")]
    one, two = (Instance(name, engines, clock) for name in ("one", "two"))
    one.prefill()
    assert one.notification_count == 1
    for _ in range(3):
        two.queues.merge(one.make_heartbeat())
    record = two.stats.prefill(engines[0])
    prefill_s = PROMPT / prefill_choice.INITIAL_TOKENS_PER_S
    assert record.queued_s(clock()) == prefill_s


def test_sequence_numbers_restart_with_a_new_incarnation():
    clock = Clock()
    engines = [engine("p-0")]
    one, two = (Instance(name, engines, clock) for name in ("one", "two"))
    one.prefill()
    one.prefill()
    two.queues.merge(one.make_heartbeat(incarnation=1))
    restarted = Instance("one", engines, clock)
    restarted.prefill()
    two.queues.merge(restarted.make_heartbeat(incarnation=2))
    prefill_s = PROMPT / prefill_choice.INITIAL_TOKENS_PER_S
    queued_s = two.stats.prefill(engines[0]).queued_s(clock())
    assert round(queued_s / prefill_s) == 3


def test_old_prompts_are_not_repeated():
    clock = Clock()
    one = Instance("one", [engine("p-0")], clock)
    one.prefill()
    clock.now += recent_events.REPEAT_DURATION_S + 0.1
    assert one.queues.recent() == ()


def test_prompts_at_an_unknown_engine_are_ignored():
    clock = Clock()
    one = Instance("one", [engine("p-0")], clock)
    two = Instance("two", [], clock)
    one.prefill()
    two.queues.merge(one.make_heartbeat())
    assert two.stats.existing_prefill(engine("p-0").key) is None
