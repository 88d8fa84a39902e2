"""Server-sent events of one decode engine, read through curl."""

import asyncio

import attrs
import expression
import pycurl
from tornado import httpclient

from seam_model import endpoints
from seam_model import errors
from seam_node.adapters import curl as curl_adapter
from seam_node.ports import engine

MAX_BUFFERED_BYTES = 256 * 1024
STREAM_LIFE_S = 3600.0
_EVENT_END = b"\n\n"
_ID_FIELD = b"id: "
_DONE_FIELD = b"\nevent: done\n"


@attrs.frozen
class StreamHead:
    """Status of a stream's answer, and its body when it was refused."""

    status: int
    body: bytes = b""
    sent: bool = True


def parse_events(data: bytes) -> endpoints.TokenChunk | None:
    """Returns the chunk of whole events in `data`, or None if malformed.

    `data` ends with the blank line of its last event.
    """
    if not data.startswith(_ID_FIELD):
        return None
    last = data.rfind(_EVENT_END, 0, -2)
    last = 0 if last < 0 else last + 2
    try:
        first_seq = int(data[4 : data.index(b"\n")])
        last_seq = int(data[last + 4 : data.index(b"\n", last)])
    except ValueError:
        return None
    count = 1 if last == 0 else data.count(_EVENT_END)
    if last_seq - first_seq + 1 != count:
        return None
    done = data.find(_DONE_FIELD, last) >= 0
    return endpoints.TokenChunk(first_seq, count, data, done)


class CurlDecodeStream(engine.DecodeStream):
    """Reads events as libcurl receives them.

    libcurl's callbacks only move bytes and wake the reader; the events are
    parsed by the reader's own task.
    """

    def __init__(
        self,
        endpoint: str,
        silence_s: float,
        kept: curl_adapter.KeptConnections,
    ):
        """Names the endpoint and the longest allowed gap, in seconds."""
        self._kept = kept
        self._endpoint = endpoint
        self._silence_s = silence_s
        self._buffer = bytearray()
        self._curl: pycurl.Curl | None = None
        self._paused = False
        self._closed = False
        self._ended = False
        self._wake: asyncio.Future | None = None
        self._waiting_since = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._head: asyncio.Future | None = None
        self._status = 0

    async def open(
        self,
        client: httpclient.AsyncHTTPClient,
        url: str,
        body: bytes,
        timeout_s: float,
    ) -> StreamHead:
        """Sends the order and waits for the status of the answer."""
        loop = asyncio.get_running_loop()
        self._head = loop.create_future()
        req = httpclient.HTTPRequest(
            url,
            method="POST",
            body=body,
            headers={"Content-Type": "application/json", "Expect": ""},
            connect_timeout=min(curl_adapter.CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=STREAM_LIFE_S,
            header_callback=self._on_header,
            prepare_curl_callback=self._prepare,
        )
        fetch = asyncio.ensure_future(client.fetch(req, raise_error=False))
        fetch.add_done_callback(self._on_end)
        timer = loop.call_later(timeout_s, self._on_head_timeout)
        head = await self._head
        timer.cancel()
        return head

    async def read(
        self,
    ) -> expression.Result[endpoints.TokenChunk | None, errors.EndpointError]:
        """Waits for the next whole events."""
        while True:
            end = self._buffer.rfind(_EVENT_END)
            if end >= 0:
                return self._take(end + 2)
            if self._ended or self._closed:
                return expression.Error(errors.EndpointLost(self._endpoint))
            if not await self._wait():
                if not self._closed:
                    self._kept.note_timeout()
                self._abort()
                return expression.Error(errors.EndpointLost(self._endpoint))

    async def close(self) -> None:
        """Stops reading; libcurl closes the connection."""
        self._abort()

    def _take(
        self, end: int
    ) -> expression.Result[endpoints.TokenChunk | None, errors.EndpointError]:
        data = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._resume_transfer()
        chunk = parse_events(data)
        if chunk is None:
            self._abort()
            return expression.Error(errors.EndpointLost(self._endpoint))
        return expression.Ok(chunk)

    async def _wait(self) -> bool:
        loop = asyncio.get_running_loop()
        self._wake = loop.create_future()
        self._waiting_since = loop.time()
        if self._timer is None:
            self._check_silence()
        try:
            return await self._wake
        finally:
            self._wake = None

    def _check_silence(self) -> None:
        """Ends a wait that lasted too long; one timer serves all waits."""
        if self._closed or self._ended:
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        due = now + self._silence_s
        if self._wake is not None:
            due = self._waiting_since + self._silence_s
        if due <= now:
            self._timer = None
            self._notify(False)
            return
        self._timer = loop.call_at(due, self._check_silence)

    def _notify(self, heard: bool) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(heard)

    def _abort(self) -> None:
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._resume_transfer()
        self._notify(False)

    def _resume_transfer(self) -> None:
        if self._paused and self._curl is not None and not self._ended:
            self._paused = False
            self._curl.pause(pycurl.PAUSE_CONT)

    # Callbacks of libcurl.

    def _prepare(self, curl: pycurl.Curl) -> None:
        self._curl = curl
        self._kept.prepare(curl)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_data)
        curl.setopt(pycurl.NOPROGRESS, False)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)
        curl.setopt(pycurl.TCP_NODELAY, 1)

    def _on_header(self, line: str) -> None:
        if line.startswith("HTTP/"):
            self._status = int(line.split(" ", 2)[1])
        elif not line.strip() and self._status == 200:
            self._set_head(StreamHead(self._status))

    def _on_data(self, data: bytes) -> int | None:
        if self._closed:
            return 0
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self._paused = True
            return pycurl.WRITEFUNC_PAUSE
        self._buffer += data
        self._notify(True)
        return None

    def _on_progress(self, *_: int) -> int:
        return 1 if self._closed else 0

    def _on_end(self, fetch: asyncio.Future) -> None:
        self._ended = True
        self._curl = None
        resp = (
            None if fetch.cancelled() or fetch.exception() else fetch.result()
        )
        if resp is not None and resp.code == self._status:
            self._set_head(StreamHead(self._status, bytes(self._buffer)))
        else:
            error = resp.error if resp is not None else fetch.exception()
            sent = curl_adapter.was_sent(error)
            self._set_head(StreamHead(0, sent=sent))
        self._notify(True)

    def _on_head_timeout(self) -> None:
        self._kept.note_timeout()
        self._set_head(StreamHead(0))
        self._abort()

    def _set_head(self, head: StreamHead) -> None:
        if self._head is not None and not self._head.done():
            self._head.set_result(head)
