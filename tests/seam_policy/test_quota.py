"""Tests of the accounts of quotas, one for each failure that they allow for."""

import collections
import random

import pytest

from seam_policy import quota
from seam_policy import quota_returns
from seam_policy import token_bucket

WINDOW_S, GAP_S = 8.0, 4.5
LIMIT = token_bucket.Limit(rate=100.0, burst=200.0, max_debt=1000.0)


def make_accounts(now=0.0, limit=LIMIT):
    accounts = quota.QuotaAccounts(WINDOW_S, GAP_S, now)
    accounts.configure({"w": limit}, now)
    return accounts


def informed(now=10.0):
    """Returns accounts with a full bucket that know two holders."""
    accounts = make_accounts()
    at = 0.0
    while at <= now:
        for holder in ("a", "b"):
            accounts.report(holder, 1, {}, at)
        at += 1.0
    return accounts


def report(accounts, now, counted, refunded=0, holder="a", incarnation=1):
    total = quota.Total(counted, refunded)
    accounts.report(holder, incarnation, {"w": total}, now)


def admit(accounts, now, counted, cost, refunded=0, holder="a"):
    total = quota.Total(counted, refunded)
    return accounts.admit(holder, 1, "w", total, cost, now)


def level(accounts, now):
    return accounts.levels(now)["w"]


def test_the_level_may_go_below_zero_by_one_request():
    """Guards against large requests that small ones starve."""
    accounts = informed()
    assert admit(accounts, 10.0, 190, 190) == 0.0
    assert admit(accounts, 10.0, 490, 300) == 0.0
    assert level(accounts, 10.0) == -290
    assert admit(accounts, 10.0, 500, 10) == pytest.approx(2.9)
    assert admit(accounts, 13.0, 500, 10) == 0.0


def test_a_grant_is_not_charged_again_by_reports():
    """Guards against a request that is charged twice."""
    accounts = informed()
    admit(accounts, 10.0, 50, 50)
    report(accounts, 10.0, 0)
    report(accounts, 10.0, 50)
    report(accounts, 10.0, 50)
    assert level(accounts, 10.0) == 150


def test_the_next_report_repairs_lost_and_late_ones():
    """Guards against use that is lost with a datagram."""
    accounts = informed()
    report(accounts, 10.0, 90)
    report(accounts, 10.0, 30)
    assert level(accounts, 10.0) == 110


def test_a_refund_is_given_back_once():
    """Guards against a quota that repeated reports enlarge."""
    accounts = informed()
    admit(accounts, 10.0, 150, 150)
    for _ in range(3):
        report(accounts, 10.0, 150, refunded=150)
    report(accounts, 10.0, 150)
    assert level(accounts, 10.0) == 200


def test_a_refused_request_is_neither_charged_nor_refunded():
    """Guards against refusals that change the level."""
    accounts = informed()
    admit(accounts, 10.0, 300, 300)
    assert admit(accounts, 10.0, 350, 50) > 0
    assert admit(accounts, 10.0, 400, 50, refunded=50) > 0
    report(accounts, 10.0, 400, refunded=100)
    assert level(accounts, 10.0) == -100


def test_refused_requests_of_a_burst_are_not_charged_by_those_after_them():
    """Guards against a debt that only refused requests have caused."""
    accounts = informed()
    admit(accounts, 10.0, 300, 300)
    for number in range(1, 20):
        assert admit(accounts, 10.0, 300 + number * 150, 150) > 0
    assert level(accounts, 10.0) == -100
    assert admit(accounts, 11.1, 3300, 150, refunded=19 * 150) == 0.0
    assert level(accounts, 11.1) == pytest.approx(-140)


def test_a_burst_is_admitted_after_a_refusal_by_an_uninformed_keeper():
    """Guards against a refusal that is charged to an empty bucket."""
    accounts = make_accounts()
    assert admit(accounts, 20.0, 150, 150) > 0
    assert admit(accounts, 20.001, 300, 150) == 0.0


def test_a_refused_request_that_is_sent_again_is_charged_once_admitted():
    """Guards against a retry that is admitted for free."""
    accounts = informed()
    admit(accounts, 10.0, 250, 250)
    assert admit(accounts, 10.0, 350, 100) > 0
    assert admit(accounts, 10.0, 400, 50) > 0
    assert admit(accounts, 10.4, 350, 100) > 0
    assert admit(accounts, 10.6, 350, 100) == 0.0
    assert level(accounts, 10.6) == pytest.approx(-90)


def test_a_refused_request_that_its_holder_does_not_refund_is_charged():
    """Guards against use that another keeper has admitted."""
    accounts = informed()
    admit(accounts, 10.0, 300, 300)
    assert admit(accounts, 10.0, 400, 100) > 0
    report(accounts, 13.0, 400)
    assert level(accounts, 13.0) == 100


def test_a_restarted_instance_counts_anew():
    """Guards against use that the totals of an old process hide."""
    accounts = informed()
    report(accounts, 10.0, 60)
    report(accounts, 10.0, 40, incarnation=2)
    assert level(accounts, 10.0) == 100


def test_a_new_keeper_starts_empty_and_does_not_charge_the_past():
    """Guards against two keepers that each grant the burst."""
    accounts = make_accounts(now=50.0)
    report(accounts, 50.5, 9000)
    assert level(accounts, 50.5) == 0
    report(accounts, 51.0, 9020)
    assert level(accounts, 51.0) == 30


def test_a_keeper_that_was_not_informed_starts_empty():
    """Guards against levels that miss the use of a partition."""
    accounts = informed()
    report(accounts, 10.0 + GAP_S + 1.0, 9000)
    assert level(accounts, 10.0 + GAP_S + 1.0) == 0


def test_reports_of_the_instance_itself_do_not_inform_it():
    """Guards against a partitioned keeper that takes itself for informed."""
    accounts = make_accounts()
    for half in range(40):
        accounts.report("own", 1, {}, half / 2, informs=False)
    assert admit(accounts, 20.0, 10, 10) > 0


def test_a_keeper_that_hears_nobody_starts_anew_only_once():
    """Guards against a lone instance that never admits a burst."""
    accounts = make_accounts()
    assert admit(accounts, 20.0, 10, 10) > 0
    for half in range(40, 80):
        accounts.note_unheard(half / 2)
        accounts.report("own", 1, {}, half / 2, informs=False)
    assert level(accounts, 40.0) == 200


def test_the_second_coordinator_takes_over_with_the_levels():
    """Guards against a successor that grants the quota again."""
    first, second = informed(), informed()
    for number in range(1, 4):
        admit(first, 10.0, number * 60, 60)
        report(second, 10.1, number * 60)
    assert level(second, 10.1) == pytest.approx(level(first, 10.1), abs=20)


def test_a_new_keeper_takes_over_a_debt():
    """Guards against a successor that grants before a debt has been paid."""
    accounts = make_accounts(now=50.0)
    report(accounts, 50.5, 9000)
    accounts.adopt_debt("w", 300.0, 50.5)
    assert level(accounts, 50.5) == -300
    # It is repeated, and paid meanwhile.
    accounts.adopt_debt("w", 250.0, 51.0)
    assert level(accounts, 51.0) == -250


def test_a_debt_that_is_told_is_bounded():
    """Guards against a message that closes a workspace for long."""
    accounts = make_accounts(now=50.0)
    accounts.adopt_debt("w", 1e9, 50.0)
    assert level(accounts, 50.0) == -LIMIT.max_debt
    accounts.adopt_debt("other", 1.0, 50.0)


def test_an_informed_keeper_takes_over_no_debt():
    """Guards against debts of a keeper that knows less."""
    accounts = informed()
    accounts.adopt_debt("w", 300.0, 10.0)
    assert level(accounts, 10.0) == 200


def test_a_silent_holder_that_returns_is_not_given_back_anything():
    """Guards against a refund of totals that were forgotten."""
    accounts = informed()
    report(accounts, 10.0, 80)
    for at in range(11, 90):
        report(accounts, float(at), 0, holder="b")
    accounts.forget_silent({"b"}, 90.0)
    assert accounts.heard_since(0.0) == {"b"}
    report(accounts, 90.0, 80)
    assert level(accounts, 90.0) <= 200 - 80


def test_a_debt_is_bounded():
    """Guards against refusals long after the excess has left the window."""
    accounts = informed()
    report(accounts, 10.0, 50_000)
    assert level(accounts, 10.0) == -LIMIT.max_debt


def test_a_lowered_limit_caps_the_level_and_a_raised_one_does_not_fill_it():
    """Guards against a burst that a change of configuration grants."""
    accounts = informed()
    lowered = token_bucket.Limit(10.0, 20.0, 1000.0)
    accounts.configure({"w": lowered}, 10.0)
    assert level(accounts, 10.0) == 20
    accounts.configure({"w": LIMIT}, 10.0)
    assert level(accounts, 10.0) == 20
    assert level(accounts, 11.0) == 120


def test_isolated_instances_share_less_than_the_rate():
    """Guards against partitioned instances that each grant the whole rate."""
    assert quota.rate_share(2, 3) == 1.0
    assert quota.rate_share(2, 4) == 1.0
    assert 75 * quota.rate_share(1, 75) <= 0.5
    accounts = informed()
    accounts.set_share(quota.rate_share(1, 4), 10.0)
    assert level(accounts, 10.0) == 0
    assert level(accounts, 12.0) == 100 * 0.125 * 2
    accounts.set_share(1.0, 12.0)
    assert level(accounts, 13.0) == 125


def test_refused_callers_return_apart_and_within_a_third_of_their_time():
    """Guards against callers that all return at once, or too late."""
    returns = quota_returns.QuotaReturns()
    times = [returns.assign("w", 0.2, 0.1, 6.0, 0.0) for _ in range(40)]
    assert times[:3] == pytest.approx([0.2, 0.3, 0.4])
    assert max(times) <= 0.34 * 6.0
    assert returns.assign("other", 0.2, 0.1, 6.0, 0.0) == pytest.approx(0.2)


# A fleet under a random schedule of losses

OVERAGE, SLACK = 0.1, 120_000.0
TICK_S = 0.025
KEEPERS = 3
"""Instances that get all reports and tell each other their debts."""
CUT_S = 3.75
"""Time after which an instance without the store accepts no key."""
DETECT_S = 0.9
"""Time after which an instance notices that it hears few others."""


class Instance:
    """One instance with its counters and its accounts."""

    def __init__(self, number, incarnation, limit, now):
        self.number, self.incarnation = number, incarnation
        self.accounts = make_accounts(now, limit)
        self.counted = self.refunded = 0
        self.cut_at = None
        self.back_at = 0.0
        self.closed_until = 0.0

    def total(self):
        return quota.Total(self.counted, self.refunded)


class Fleet:
    """Instances that ask each other in order; messages may be lost."""

    def __init__(self, seed, count=15, rate=60_000.0):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.rate, self.count = rate, count
        # The burst is what refills in a second, and a part of the slack where
        # the rate is small.
        burst = rate + max(0.0, 0.4 * SLACK - 0.24 * rate)
        excess = OVERAGE * (rate * WINDOW_S + rate) + SLACK
        self.bound = rate * WINDOW_S + rate + excess
        self.limit = token_bucket.Limit(rate, burst, excess)
        self.instances = [
            Instance(n, 1, self.limit, self.now) for n in range(count)
        ]
        self.admitted = []
        self.refused = 0

    def run(self, duration_s, load, faults=True):
        end = self.now + duration_s
        tick = 0
        while self.now < end:
            if faults and self.rng.random() < TICK_S / 3.0:
                self.fault()
            if tick % round(0.1 / TICK_S) == 0:
                self.look()
            if tick % round(0.5 / TICK_S) == 0:
                self.report()
            for _ in range(round(load * self.rate * TICK_S / 1000)):
                self.request(self.rng.random() < 0.1)
            self.now += TICK_S
            tick += 1

    def fault(self):
        if self.rng.random() < 0.6:
            # Coordinators are lost most often, at times both.
            for number in range(self.rng.choice((1, 1, 2))):
                old = self.instances[number]
                new = Instance(
                    number, old.incarnation + 1, self.limit, self.now
                )
                new.back_at = self.now + self.rng.uniform(0.5, 4.0)
                self.instances[number] = new
        elif not any(each.cut_at for each in self.instances):
            self.cut(self.rng.sample(self.instances, self.count // 3))
        else:
            self.heal()

    def cut(self, instances):
        for each in instances:
            each.cut_at = self.now

    def heal(self):
        for each in self.instances:
            each.cut_at = None

    def reachable(self, asker):
        return [
            each
            for each in self.instances
            if each.back_at <= self.now
            and (each.cut_at is None) == (asker.cut_at is None)
        ]

    def look(self):
        """Notices how many others are seen, as often as the real ones do."""
        for each in self.instances:
            seen = self.count
            if each.cut_at and self.now - each.cut_at > DETECT_S:
                seen = len(self.reachable(each))
            share = quota.rate_share(seen, self.count)
            each.accounts.set_share(share, self.now)

    def report(self):
        for each in self.instances:
            if each.back_at > self.now:
                continue
            group = self.reachable(each)
            for to in group[:KEEPERS]:
                if to is not each and self.rng.random() < 0.8:
                    self.send_report(each, to)
            if each in group[:KEEPERS]:
                self.tell_debt(each, group[:KEEPERS])
            wait_s = group[0].accounts.wait_s("w", self.now)
            if wait_s > 0 and self.rng.random() < 0.8:
                each.closed_until = self.now + wait_s

    def tell_debt(self, sender, keepers):
        debt = -sender.accounts.levels(self.now)["w"]
        for to in keepers:
            if debt > 0 and to is not sender and self.rng.random() < 0.8:
                to.accounts.adopt_debt("w", debt, self.now)

    def send_report(self, sender, to):
        to.accounts.report(
            sender.number, sender.incarnation, {"w": sender.total()}, self.now
        )

    def request(self, is_model):
        asker = self.rng.choice(self.instances)
        is_cut_off = asker.cut_at and self.now - asker.cut_at > CUT_S
        if asker.back_at > self.now or is_cut_off:
            return
        cost = self.rng.randint(5000, 11_000) if is_model else 200
        if not is_model and asker.closed_until > self.now:
            return
        asker.counted += cost
        if is_model and not self.ask(asker, cost):
            asker.refunded += cost
            self.refused += 1
        elif is_model and self.rng.random() < 0.2:
            asker.refunded += cost
        else:
            self.admitted.append((self.now, cost))

    def ask(self, asker, cost):
        others = self.reachable(asker)[:2]
        answering = [
            each for each in others if each is asker or self.rng.random() < 0.98
        ]
        keeper = (answering or [asker])[0]
        wait_s = keeper.accounts.admit(
            asker.number,
            asker.incarnation,
            "w",
            asker.total(),
            cost,
            self.now,
        )
        return wait_s <= 0

    def most_in_a_window(self):
        window, used, most = collections.deque(), 0, 0
        for at, cost in self.admitted:
            window.append((at, cost))
            used += cost
            while window[0][0] <= at - WINDOW_S:
                used -= window.popleft()[1]
            most = max(most, used)
        return most


@pytest.mark.parametrize("seed", range(8))
def test_use_in_each_window_is_bounded_while_keepers_are_lost(seed):
    """Guards against successors that grant what was granted before."""
    fleet = Fleet(seed)
    fleet.run(90.0, load=4.0)
    assert fleet.refused
    assert fleet.most_in_a_window() <= fleet.bound


@pytest.mark.parametrize("with_keeper", [False, True])
def test_use_is_bounded_while_a_third_of_a_large_fleet_is_cut_off(with_keeper):
    """Guards against two parts of a fleet that each grant the rate."""
    fleet = Fleet(3, count=75, rate=200_000.0)
    fleet.run(12.0, load=4.2, faults=False)
    first = 0 if with_keeper else 2
    fleet.cut(fleet.instances[first : first + 25])
    fleet.run(10.0, load=4.2, faults=False)
    fleet.heal()
    fleet.run(8.0, load=4.2, faults=False)
    assert fleet.most_in_a_window() <= fleet.bound


def test_use_below_the_quota_is_not_refused():
    """Guards against refusals by accounts that charge too much."""
    fleet = Fleet(1)
    fleet.run(15.0, load=0.5, faults=False)
    fleet.refused = 0
    fleet.run(60.0, load=0.5, faults=False)
    assert fleet.refused == 0


@pytest.mark.parametrize("seed", range(8))
def test_use_is_bounded_while_a_large_fleet_is_cut_again_and_again(seed):
    """Guards against partitions and lost keepers within one window."""
    fleet = Fleet(seed, count=75, rate=200_000.0)
    fleet.run(60.0, load=4.2)
    assert fleet.most_in_a_window() <= fleet.bound
