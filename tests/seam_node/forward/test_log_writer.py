"""Tests of the non-blocking log writer."""

import os

from seam_node.forward import log_writer


def message(event="e", level="info", **fields):
    return {"timestamp": 1.0, "message_type": event, "level": level, **fields}


def read_all(fd):
    data = b""
    while True:
        try:
            chunk = os.read(fd, 65536)
        except BlockingIOError:
            return data.decode()
        if not chunk:
            return data.decode()
        data += chunk


def test_lines_are_written_in_order():
    reader, writer = os.pipe()
    lines = log_writer.LineWriter(writer, "info", 100, 100)
    lines.start()
    for number in range(5):
        lines(message(number=number))
    lines(message(level="debug", number=9))
    lines.close()
    os.close(writer)
    text = read_all(reader)
    assert [line[-1] for line in text.splitlines()] == list("01234")


def test_a_stalled_reader_does_not_block():
    reader, writer = os.pipe()
    lines = log_writer.LineWriter(writer, "info", 50, 10**9)
    lines.start()
    for _ in range(20_000):
        lines(message(text="x" * 200))
    assert lines.dropped_lines > 0
    lines.close(timeout_s=0.0)
    os.close(reader)


def test_a_flood_of_one_event_is_rate_limited():
    reader, writer = os.pipe()
    lines = log_writer.LineWriter(writer, "info", 10_000, 20)
    for _ in range(500):
        lines(message("flood"))
    lines(message("other"))
    lines.start()
    lines.close()
    os.close(writer)
    text = read_all(reader)
    assert text.count("event=flood") <= 40
    assert "event=other" in text
    assert "lines_left_out=" in text


def test_text_from_callers_cannot_forge_a_line():
    reader, writer = os.pipe()
    lines = log_writer.LineWriter(writer, "info", 100, 100)
    lines.start()
    lines(message(request='a\nat=1.000 event=forged x="y'))
    lines.close()
    os.close(writer)
    text = read_all(reader)
    assert len(text.splitlines()) == 1
    assert not any(
        line.startswith("at=1.000 event=forged") for line in text.splitlines()
    )


def test_the_level_can_be_changed():
    reader, writer = os.pipe()
    lines = log_writer.LineWriter(writer, "warning", 100, 100)
    lines(message())
    lines.set_level("info")
    lines(message("seen"))
    lines.start()
    lines.close()
    os.close(writer)
    assert read_all(reader).count("\n") == 1
