"""Memory that one entry of another writer takes as it is decoded."""

import subprocess
import sys

import pytest

ENTRY_BYTES = 1_045_000
"""Nearly the largest object that the store takes."""
MOST_TIMES_ITS_SIZE = 8
UNREADABLE = b'"\\ud83d"'
ENTRY = b'{"metadata":{"name":"e","revision":7},"spec":{"version":%s}}'
PAGE = b'{"items":[%s],"has_more":false,"store_revision":9}'


def list_of(value):
    count = ENTRY_BYTES // (len(value) + 1)
    return b"[" + (value + b",") * count + UNREADABLE + b"]"


def many_names():
    names = b"".join(b'"k%d":1,' % n for n in range(ENTRY_BYTES // 13))
    return b"{" + names + b'"z":' + UNREADABLE + b"}"


VERSIONS = {
    "half of a character": b'"' + b"x" * ENTRY_BYTES + b'\\ud83d"',
    "no UTF-8": b'"' + b"\xff" * ENTRY_BYTES + b'"',
    "escapes": b'"' + b"\\n" * (ENTRY_BYTES // 2) + b'\\ud83d"',
    "open string": b'"' + b'\\"' * (ENTRY_BYTES // 2),
    "texts": list_of(b'""'),
    "numbers": list_of(b"1000"),
    "lists": list_of(b"[]"),
    "deep": b"[" * (ENTRY_BYTES // 2) + b"]" * (ENTRY_BYTES // 2),
    "deep with numbers": b"[0," * (ENTRY_BYTES // 4)
    + b"]" * (ENTRY_BYTES // 4),
    "names": many_names(),
}
unreadable = pytest.mark.parametrize("kind", VERSIONS)

MEASURE = """
import pathlib, sys
from seam_platform import answers
body = sys.stdin.buffer.read()
def kilobytes(name):
    status = pathlib.Path("/proc/self/status").read_text()
    return int(status.split(name + ":")[1].split()[0])
# The peak starts at what is in use now.
pathlib.Path("/proc/self/clear_refs").write_text("5")
before = kilobytes("VmRSS")
answers.page(body)
print(1024 * (kilobytes("VmHWM") - before))
"""


def page(kind):
    return PAGE % (ENTRY % VERSIONS[kind])


@unreadable
def test_unreadable_entry_takes_little_memory(kind):
    """Guards against an entry that takes instances over their memory."""
    done = subprocess.run(
        [sys.executable, "-c", MEASURE],
        input=page(kind),
        capture_output=True,
        check=True,
    )
    assert int(done.stdout) <= MOST_TIMES_ITS_SIZE * ENTRY_BYTES
