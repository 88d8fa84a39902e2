"""Sends seeded, bounded malformed input to the ports of one instance.

`python -m bench.fuzz --callers-port P --peer-port Q --seed 1 --count 200`
"""

import argparse
import asyncio
import json
import random
import time

import attrs
import msgpack

from seam_model import ids

ANSWER_WAIT_S = 0.5
MAX_BYTES = 4096
READ_BYTES = 65536
_PATHS = (
    "/v1/generate",
    "/v1/entry",
    "/v1/services/plank-ledger/reserve",
    "/v1/requests/x",
    "/nowhere",
    "//",
)
_METHODS = ("POST", "GET", "DELETE", "PUT", "PATCH", "BREW")
_HEADERS = (
    "Content-Length: -1",
    "Content-Length: 99999999999",
    "Content-Length: 5\r\nContent-Length: 6",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: nonsense",
    "Last-Event-ID: 9999999999999",
    "Last-Event-ID: -1",
    "Idempotency-Key: \x00",
    "Authorization: Bearer",
    "Host",
    ": empty",
)


@attrs.define
class Report:
    """Counts of responses by status."""

    sent: int = 0
    statuses: dict[str, int] = attrs.field(factory=dict)

    def count(self, answer: bytes) -> None:
        """Counts one response by its status."""
        self.sent += 1
        status = "none"
        if answer.startswith(b"HTTP/1.1 "):
            status = answer[9:12].decode("latin-1")
        self.statuses[status] = self.statuses.get(status, 0) + 1


def _random_value(rng: random.Random, depth: int = 0) -> object:
    kinds = 9 if depth < 3 else 6
    kind = rng.randrange(kinds)
    if kind < 6:
        scalars = (None, True, -1, 1e308, "x" * rng.randrange(40), 2**63)
        return scalars[kind]
    if kind == 6:
        return [_random_value(rng, depth + 1) for _ in range(rng.randrange(4))]
    if kind == 7:
        return {
            str(n): _random_value(rng, depth + 1)
            for n in range(rng.randrange(4))
        }
    return "\u0000\ud7ff" * rng.randrange(10)


def _random_body(rng: random.Random) -> bytes:
    """Returns a model request, partly randomized, truncated or extended."""
    fields = {
        "id": ids.make_uuid7(time.time(), rng),
        "workspace": "cebu-branch-1",
        "model": "dedication-writer",
        "rank": "urgent",
        "prompt": "sponsor file",
        "max_tokens": 3,
        "deadline_s": 2.0,
    }
    for name in rng.sample(sorted(fields), rng.randrange(4)):
        fields[name] = _random_value(rng)
    body = json.dumps(fields).encode()
    if rng.random() < 0.3:
        body = body[: rng.randrange(len(body))]
    if rng.random() < 0.2:
        body += rng.randbytes(rng.randrange(200))
    return body


def http_bytes(rng: random.Random) -> bytes:
    """Returns random bytes or a malformed HTTP request."""
    if rng.random() < 0.15:
        return rng.randbytes(rng.randrange(1, MAX_BYTES))
    body = _random_body(rng)
    lines = [f"{rng.choice(_METHODS)} {rng.choice(_PATHS)} HTTP/1.1"]
    lines.append("Host: x")
    if rng.random() < 0.7:
        lines.append(f"Content-Length: {len(body)}")
    lines += rng.sample(_HEADERS, rng.randrange(3))
    data = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
    if rng.random() < 0.2:
        data = data[: rng.randrange(len(data))]
    return data


def peer_bytes(rng: random.Random) -> bytes:
    """Returns random bytes or malformed first frames of a peer."""
    if rng.random() < 0.3:
        return rng.randbytes(rng.randrange(1, MAX_BYTES))
    if rng.random() < 0.3:
        # A length header far larger than the data that follows it.
        return rng.choice((b"\xdd", b"\xdb", b"\xc6", b"\xdf")) + b"\xff" * 4
    rows = [
        [_random_value(rng) for _ in range(rng.randrange(6))] for _ in range(2)
    ]
    rows[0][:2] = ["e2", 1]
    return b"".join(msgpack.packb(row, unicode_errors="ignore") for row in rows)


async def send(port: int, data: bytes, half_close: bool = False) -> bytes:
    """Sends bytes to a loopback port; returns the start of the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        await writer.drain()
        if half_close:
            writer.write_eof()
        return await asyncio.wait_for(reader.read(READ_BYTES), ANSWER_WAIT_S)
    except (TimeoutError, OSError):
        return b""
    finally:
        writer.close()


async def fuzz(
    callers_port: int, peer_port: int, seed: int, count: int
) -> Report:
    """Sends `count` malformed inputs, at most ten at a time."""
    rng = random.Random(seed)
    report = Report()
    slots = asyncio.Semaphore(10)

    async def send_one(port: int, data: bytes, half_close: bool) -> None:
        async with slots:
            report.count(await send(port, data, half_close))

    jobs = []
    for _ in range(count):
        to_peer = rng.random() < 0.3
        data = peer_bytes(rng) if to_peer else http_bytes(rng)
        port = peer_port if to_peer else callers_port
        jobs.append(send_one(port, data, rng.random() < 0.2))
    await asyncio.gather(*jobs)
    return report


def main() -> None:
    """Parses the options, sends the input and prints status counts."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--callers-port", type=int, required=True)
    parser.add_argument("--peer-port", type=int, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=200)
    args = parser.parse_args()
    report = asyncio.run(
        fuzz(args.callers_port, args.peer_port, args.seed, args.count)
    )
    print(f"sent={report.sent} statuses={report.statuses}")


if __name__ == "__main__":
    main()
