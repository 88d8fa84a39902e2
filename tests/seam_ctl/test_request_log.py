"""Collecting the log lines of a request."""

from seam_ctl import log_lines
from seam_ctl import request_log
from seam_node import logs


def line(at, event, instance="i-1", **fields):
    return logs.format_event(
        {"timestamp": at, "message_type": event, "instance": instance, **fields}
    )


LINES = [
    line(1.0, "endpoint_changed", endpoint="e-1", state="draining"),
    line(2.0, "endpoint_changed", endpoint="e-9", state="ready"),
    line(3.0, "send_failed", request="r", endpoint="e-1", detail="a b=c"),
    line(3.5, "request_ended", request="other", status=200),
    line(4.0, "request_ended", request="r", status=502),
    line(3.2, "endpoint_changed", "i-2", endpoint="e-1", state="gone"),
    line(3.9, "store_lost"),
    "Traceback (most recent call last):",
    "",
]


def test_lines_of_a_request_with_related_earlier_events():
    collected = request_log.collect("r", LINES)
    assert [each.event for each in collected.lines] == [
        "endpoint_changed",
        "send_failed",
        "store_lost",
        "request_ended",
    ]
    assert collected.lines[1].fields["detail"] == "a b=c"


def test_lines_of_several_instances_come_in_time_order():
    lines = [
        line(5.0, "request_ended", "i-2", request="r"),
        line(4.0, "request_ended", "i-1", request="r"),
    ]
    collected = request_log.collect("r", lines).lines
    assert [each.instance for each in collected] == ["i-1", "i-2"]


def test_prefix_before_the_event_is_ignored():
    parsed = log_lines.parse(f"  12.5 host {line(1.0, 'e', request='r')}")
    assert (parsed.at, parsed.fields["request"]) == (1.0, "r")


def test_unknown_request():
    assert request_log.collect("none", LINES).lines == ()


def test_id_with_quote_and_newline_cannot_forge_an_event():
    odd_id = 'r"\n at=9 event=forged'
    collected = request_log.collect(
        odd_id, [line(1.0, "request_ended", request=odd_id)]
    )
    assert collected.lines[0].fields["request"] == odd_id


def test_endpoints_left_alone_are_shown_however_long_ago_that_began():
    lines = [
        line(1.0, "endpoint_leaving", endpoint="e-2/7", answer_to="GET /a 200"),
        line(80.0, "endpoint_pausing", endpoint="e-3/7", pause_s=3.0),
        line(98.0, "endpoint_pausing", endpoint="e-4/7", pause_s=3.0),
        line(98.0, "endpoint_pausing", "i-2", endpoint="e-5/7", pause_s=9.0),
        line(100.0, "request_ended", request="r", endpoint="e-1/7"),
    ]
    collected = request_log.collect("r", lines).lines
    shown = [each.fields.get("endpoint") for each in collected]
    assert shown == ["e-2/7", "e-4/7", "e-1/7"]
