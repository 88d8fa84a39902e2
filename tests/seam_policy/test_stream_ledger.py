"""Tests of the streams that a placer counts."""

from seam_policy import kv_forecast
from seam_policy import stream_ledger

SIZE = kv_forecast.StreamSize(3000, 1000, 2000)
TOKENS_S = 300.0


def make():
    return stream_ledger.StreamLedger(lambda: TOKENS_S)


def stream(engine="e", starts_at=0.0):
    return stream_ledger.Stream(engine, SIZE, starts_at)


def add(ledger, number, holder="one", now=0.0, **options):
    stream_id = stream_ledger.StreamId(holder, number)
    ledger.add(stream_id, stream(**options), now)
    return stream_id


def test_streams_of_all_holders_add_up():
    ledger = make()
    add(ledger, 1)
    add(ledger, 1, "two")
    add(ledger, 2, engine="other")
    assert ledger.profile("e", 0.0).slots == 2
    assert ledger.profile("other", 0.0).slots == 1
    assert ledger.profile("unknown", 0.0).slots == 0


def test_a_change_is_seen_at_once():
    ledger = make()
    first = add(ledger, 1)
    before = ledger.profile("e", 0.0).peak()
    add(ledger, 2)
    assert ledger.profile("e", 0.0).peak() > 1.5 * before
    ledger.remove(first)
    ledger.remove(first)
    assert ledger.profile("e", 0.0).slots == 1


def test_demand_follows_the_time_at_which_a_stream_starts():
    ledger = make()
    add(ledger, 1, engine="early", starts_at=-3.0)
    add(ledger, 1, "two", engine="late", starts_at=0.5)
    early = ledger.profile("early", 0.0).demands[0].mean
    late = ledger.profile("late", 0.0).demands[0].mean
    assert early == 3000 + 3 * TOKENS_S
    assert late == 3000


def test_a_report_removes_what_ended_and_adds_what_was_unknown():
    ledger = make()
    for number in (1, 2):
        add(ledger, number)
    now = stream_ledger.GRANT_SETTLE_S + 1.0
    ledger.replace("one", {2: stream(), 3: stream("other")}, now)
    assert len(ledger) == 2
    assert ledger.profile("other", now).slots == 1


def test_a_report_keeps_grants_that_are_under_way():
    ledger = make()
    add(ledger, 1, now=5.0)
    ledger.replace("one", {}, 5.2)
    assert len(ledger) == 1
    ledger.replace("one", {}, 5.0 + stream_ledger.GRANT_SETTLE_S + 0.1)
    assert len(ledger) == 0


def test_a_report_corrects_the_start_of_a_stream():
    ledger = make()
    add(ledger, 1, starts_at=0.0)
    ledger.replace("one", {1: stream(starts_at=1.0)}, 2.0)
    assert ledger.profile("e", 2.0).demands[0].mean == 3000 + TOKENS_S


def test_streams_of_silent_holders_are_dropped():
    ledger = make()
    add(ledger, 1)
    add(ledger, 1, "own")
    ledger.replace("idle", {}, 0.0)
    now = stream_ledger.HOLDER_LAPSE_S + 0.1
    assert ledger.is_reporting("one", now - 1.0)
    assert ledger.drop_silent(now, own="own") == ["one"]
    assert not ledger.is_reporting("one", now)
    assert len(ledger) == 1
