"""What must hold in a soak, from what callers and endpoints saw."""

import bisect
import collections

from soak import backends

DRAINED_S = 3.0
"""Time after which a leaving endpoint gets no requests."""
WINDOW_S = 4.0
PROMISES = (408, 421, 429, 503)
"""Statuses that promise that the request has not run."""
TOLD_S = 0.5
"""Time from a request to the end of its answer's head, with what is on its way
meanwhile."""
IN_FLIGHT_S = 0.5
MAX_IN_PAUSE = 2
MAX_DEADLY_RUNS = 8
"""Five crashes and three more requests."""


def violations(outcomes, all_backends):
    """Returns what was broken, as texts."""
    runs = collections.Counter(
        run.request_id for backend in all_backends for run in backend.runs
    )
    found = []
    for each in outcomes:
        found += _of_outcome(each, runs[each.request_id])
    return found + _of_handles(all_backends)


def _of_handles(all_backends):
    """Returns KV caches that a foreign request or two runs went on from."""
    runs = [run for each in all_backends for run in each.runs if run.kv_handle]
    found = [
        f"{run.request_id} goes on from {run.kv_handle}"
        for run in runs
        if run.kv_handle.partition(".")[0] != run.request_id
    ]
    uses = collections.Counter(run.kv_handle for run in runs)
    return found + [
        f"{handle} used by {count} runs"
        for handle, count in uses.items()
        if count > 1
    ]


def _of_outcome(each, runs):
    label = f"{each.kind} {each.request_id} at {each.member}"
    if each.kind in ("write", "draft") and runs > 1:
        yield f"{label}: ran {runs} times"
    if each.kind in ("write", "draft") and each.status in PROMISES and runs:
        yield f"{label}: answered {each.status} and ran"
    if each.status == 200 and each.complete and each.body != each.expected:
        yield f"{label}: {each.body!r} looks complete"
    if each.status == 200 and not each.expected.startswith(each.body):
        yield f"{label}: foreign bytes {each.body!r}"


def fence_violations(all_backends):
    """Returns where two instances used one fencing token, or it went back.

    Order of arrival is order of sending here, but for what a frozen instance
    sends as it wakes: that is the reason for tokens, and must not be new.
    """
    orders = sorted(
        (order for each in all_backends for order in each.orders_seen),
        key=lambda order: order.at,
    )
    found = []
    holder_of = {}
    highest = {}
    for order in orders:
        holder = holder_of.setdefault(order.fence, order.holder)
        if holder != order.holder:
            found.append(f"token {order.fence}: {holder} and {order.holder}")
        if order.fence < highest.get(order.engine, 0):
            found.append(f"{order.holder} went back to {order.fence}")
        highest[order.engine] = max(order.fence, highest.get(order.engine, 0))
    return found


def cut_requests(outcomes, all_backends):
    """Returns requests that reached an endpoint and got no whole answer."""
    reached = {
        received.request_id
        for backend in all_backends
        for received in backend.received
    }
    return [
        f"{each.kind} {each.request_id} at {each.member}: cut off"
        for each in outcomes
        if not each.complete and each.request_id in reached
    ]


def late_runs(left):
    """Returns the runs at endpoints that had left long before."""
    return [
        f"{run.request_id} at {backend.id}, {run.at - left_at:.1f} s later"
        for backend, left_at in left
        for run in backend.runs
        if run.at > left_at + DRAINED_S
    ]


def arrivals_after_sign(signed, outcomes):
    """Returns requests of an instance long after its first one that told it.

    The answer to the first request after the sign tells the instance.
    """
    member_of = {each.request_id: each.member for each in outcomes}
    found = []
    for backend, signed_at in signed:
        told_at = {}
        for each in backend.arrivals:
            member = member_of.get(each.request_id)
            if each.at > signed_at:
                first_at = told_at.setdefault(member, each.at)
                if each.at > first_at + TOLD_S:
                    late_s = each.at - first_at
                    found.append(f"{member} at {backend.id}: {late_s:.1f} s")
    return found


def arrivals_in_pauses(all_backends, outcomes):
    """Returns the most requests of one instance within one pause."""
    member_of = {each.request_id: each.member for each in outcomes}
    most = 0
    for backend in all_backends:
        for pause in backend.pauses:
            since, until = pause.at + IN_FLIGHT_S, pause.at + backends.PAUSE_S
            member = member_of.get(pause.request_id)
            count = sum(
                since < each.at < until
                and member_of.get(each.request_id) == member
                for each in backend.arrivals
            )
            most = max(most, count)
    return most


def deadly_runs(all_backends):
    """Returns how many requests with the deadly part reached an engine."""
    return sum(run.deadly for b in all_backends for run in b.runs)


def most_in_window(times):
    """Returns the most arrivals within any window."""
    times = sorted(times)
    return max(
        (
            bisect.bisect_right(times, at + WINDOW_S) - index
            for index, at in enumerate(times)
        ),
        default=0,
    )
