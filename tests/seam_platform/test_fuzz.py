"""Random bytes in what the store and the endpoints send.

The seed is fixed, so that a run can be repeated.
"""

import hypothesis
from hypothesis import strategies
import orjson
from tornado import httputil

from seam_node.ports import catalog
from seam_platform import answers
from seam_platform import objects
from seam_platform import store
from seam_platform import wire

CODEC = wire.PlatformWire("one")
fuzz = hypothesis.settings(
    max_examples=400, derandomize=True, deadline=None, database=None
)

json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(), inner, max_size=4)
    ),
    max_leaves=8,
)
raw_specs = strategies.sampled_from(
    [b'"\\ud83d"', b"1e999", b"[[[NaN]]]", b'"\xff]}"', b'{"a":"\x00"}']
)
header_texts = strategies.text(
    strategies.characters(
        min_codepoint=32, max_codepoint=255, exclude_characters="\x7f"
    ),
    max_size=40,
) | strategies.integers(1, 6000).map(lambda size: "9" * size)
HEADER_NAMES = strategies.sampled_from(
    [
        "Request-Id",
        "Server-Seal",
        "Not-Executed",
        "Server-Limit",
        "Keep-Alive",
        "Connection",
        "Content-Encoding",
        "Deadline-Ms",
        "Model",
        "Token-Count",
        "Length-Hint",
        "Last-Event-Id",
        "Prompt-Prefix",
        "Host",
        "Retry-After",
        "Server-Leaving",
    ]
)


def good_item(number):
    metadata = {"name": f"good-{number}", "revision": number + 1}
    return orjson.dumps({"metadata": metadata, "spec": {"n": number}})


@fuzz
@hypothesis.given(strategies.binary(max_size=300))
def test_any_bytes_as_an_answer_of_the_store(body):
    answers.page(body)
    answers.events(body)
    answers.item(body)


@fuzz
@hypothesis.given(
    strategies.lists(raw_specs | strategies.none(), max_size=6),
    strategies.data(),
)
def test_readable_objects_are_found_beside_any_others(specs, data):
    del data
    items = [
        good_item(number)
        if spec is None
        else b'{"metadata":{"name":"odd","revision":1},"spec":%s}' % spec
        for number, spec in enumerate(specs)
    ]
    body = b'{"items":[%s],"has_more":false,"store_revision":9}'
    page = answers.page(body % b",".join(items))
    expected = [f"good-{n}" for n, spec in enumerate(specs) if spec is None]
    found = [item.name for item in page.items if item.readable]
    assert found == expected
    assert len(page.items) == len(items)


@fuzz
@hypothesis.given(
    strategies.binary(max_size=60),
    strategies.integers(0, 200),
    strategies.data(),
)
def test_damaged_answer_of_the_store(junk, at, data):
    items = b",".join(good_item(number) for number in range(3))
    body = b'{"items":[%s],"has_more":false,"store_revision":9}' % items
    end = data.draw(strategies.integers(at, at + 20))
    damaged = body[:at] + junk + body[end:]
    answers.page(damaged)
    answers.events(damaged.replace(b"items", b"events"))


@fuzz
@hypothesis.given(json_values, strategies.sampled_from(list(catalog.Kind)))
def test_any_spec_of_an_object(spec, kind):
    item = answers.Item("main", 1, spec, True)
    entry = store._decode_entry(kind, item)
    assert entry.value is None


@fuzz
@hypothesis.given(strategies.data())
def test_endpoint_with_a_field_of_any_value(data):
    spec = {
        "service": "s",
        "address": "127.0.0.1:80",
        "zone": "z",
        "version": "1",
        "slots": 1,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 5,
    }
    name = data.draw(strategies.sampled_from(sorted(spec)))
    spec[name] = data.draw(json_values)
    try:
        objects.endpoint("e", spec)
    except objects.UnreadableError:
        return


@fuzz
@hypothesis.given(
    strategies.integers(100, 999),
    strategies.lists(strategies.tuples(HEADER_NAMES, header_texts), max_size=8),
)
def test_any_head_of_an_answer_or_a_request(status, fields):
    headers = httputil.HTTPHeaders()
    for name, value in fields:
        headers.add(name, value.strip())
    start = httputil.ResponseStartLine("HTTP/1.1", status, "x")
    CODEC.decode_answer_head(start, headers)
    request = httputil.RequestStartLine("POST", "/a", "HTTP/1.1")
    CODEC.decode_request(request, headers, b"")


@fuzz
@hypothesis.given(
    strategies.binary(max_size=200)
    | json_values.map(lambda value: repr(value).encode("utf-8", "replace"))
    | strategies.integers(1, 6000).map(
        lambda n: b'{"sequence":"%s","busy":1}' % (b"9" * n)
    )
)
def test_any_body_of_an_answer(body):
    CODEC.decode_report(body)
    CODEC.decode_prefill_done(body)
    CODEC.decode_hold_id(body)


@fuzz
@hypothesis.given(
    strategies.binary(max_size=200)
    | strategies.integers(1, 6000).map(lambda n: b"id: " + b"9" * n)
)
def test_any_event_of_a_stream(event):
    CODEC.decode_event_id(event)
