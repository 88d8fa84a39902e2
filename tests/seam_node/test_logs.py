"""Log lines can be parsed back, whatever characters their values contain."""

import json
import re

import hypothesis
from hypothesis import strategies

from seam_node import logs

PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"=]+)(?: |$)')


def parse_line(line):
    end = 0
    pairs = {}
    while end < len(line):
        match = PAIR.match(line, end)
        assert match is not None, line[end:]
        value = match[2]
        pairs[match[1]] = json.loads(value) if value[0] == '"' else value
        end = match.end()
    return pairs


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(["detail", "path", "why", "operator"]),
        strategies.text(),
    ),
    strategies.text(),
)
def test_event_is_one_line_and_parses_back(fields, name):
    message = {"timestamp": 1.0, "message_type": name, **fields}
    line = logs.format_event(message)
    assert len(line.splitlines()) == 1
    assert parse_line(line) == {"at": "1.000", "event": name, **fields}
