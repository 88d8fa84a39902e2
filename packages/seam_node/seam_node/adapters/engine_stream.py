"""Reads the server-sent events of one decode engine through curl."""

import asyncio

import attrs
import expression
import pycurl
from tornado import httpclient

from seam_model import endpoint_errors
from seam_model import endpoints
from seam_node.adapters import curl as curl_adapter
from seam_node.ports import engine

MAX_BUFFERED_BYTES = 256 * 1024
MAX_STREAM_DURATION_S = 3600.0
_EVENT_END = b"\n\n"
_ID_FIELD = b"id: "
_DONE_FIELD = b"\nevent: done\n"


@attrs.frozen
class StreamHead:
    """Status of a stream's answer; the body only if it is an error.

    `status` is 0 when no answer came; `maybe_sent` then tells whether the
    engine may have received the request.
    """

    status: int
    body: bytes = b""
    maybe_sent: bool = True


def parse_events(data: bytes) -> endpoints.TokenChunk | None:
    """Decodes complete events into one chunk; None if they are malformed.

    `data` must end with the blank line that ends its last event.
    """
    if not data.startswith(_ID_FIELD):
        return None
    last_start = data.rfind(_EVENT_END, 0, -2)
    last_start = 0 if last_start < 0 else last_start + 2
    try:
        first_seq = int(data[4 : data.index(b"\n")])
        last_seq = int(data[last_start + 4 : data.index(b"\n", last_start)])
    except ValueError:
        return None
    count = 1 if last_start == 0 else data.count(_EVENT_END)
    if last_seq - first_seq + 1 != count:
        return None
    done = data.find(_DONE_FIELD, last_start) >= 0
    return endpoints.TokenChunk(first_seq, count, data, done)


class CurlDecodeStream(engine.DecodeStream):
    """Reads events as libcurl receives them.

    libcurl's callbacks only append to the buffer and wake the reader; the
    reader's task parses the events.
    """

    def __init__(
        self,
        endpoint: str,
        silence_timeout_s: float,
        reuse: curl_adapter.ConnectionReuse,
    ):
        """Sets the endpoint's name and the longest allowed gap in seconds."""
        self._reuse = reuse
        self._endpoint = endpoint
        self._silence_timeout_s = silence_timeout_s
        self._buffer = bytearray()
        self._curl: pycurl.Curl | None = None
        self._upload = curl_adapter.Upload(None)
        self._paused = False
        self._closed = False
        self._ended = False
        self._data_future: asyncio.Future | None = None
        self._waiting_since = 0.0
        self._silence_timer: asyncio.TimerHandle | None = None
        self._head_future: asyncio.Future | None = None
        self._status = 0

    async def open(
        self,
        client: httpclient.AsyncHTTPClient,
        url: str,
        body: bytes,
        timeout_s: float,
    ) -> StreamHead:
        """Sends the request and waits for the status of the answer."""
        loop = asyncio.get_running_loop()
        self._head_future = loop.create_future()
        self._upload = curl_adapter.Upload(body)
        req = httpclient.HTTPRequest(
            url,
            method="POST",
            body=body,
            headers={"Content-Type": "application/json", "Expect": ""},
            connect_timeout=min(curl_adapter.CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=MAX_STREAM_DURATION_S,
            header_callback=self._on_header,
            prepare_curl_callback=self._prepare,
        )
        fetch = asyncio.ensure_future(client.fetch(req, raise_error=False))
        fetch.add_done_callback(self._on_end)
        timer = loop.call_later(timeout_s, self._on_head_timeout)
        head = await self._head_future
        timer.cancel()
        return head

    async def read(
        self,
    ) -> expression.Result[
        endpoints.TokenChunk | None, endpoint_errors.EndpointError
    ]:
        """Waits for the next complete events."""
        while True:
            end = self._buffer.rfind(_EVENT_END)
            if end >= 0:
                return self._take_chunk(end + 2)
            if self._ended or self._closed:
                return expression.Error(
                    endpoint_errors.EndpointLost(self._endpoint)
                )
            if not await self._wait_for_data():
                if not self._closed:
                    self._reuse.note_timeout()
                self._abort()
                return expression.Error(
                    endpoint_errors.EndpointLost(self._endpoint)
                )

    async def close(self) -> None:
        """Stops reading; libcurl closes the connection."""
        self._abort()

    def _take_chunk(
        self, end: int
    ) -> expression.Result[
        endpoints.TokenChunk | None, endpoint_errors.EndpointError
    ]:
        data = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._resume_transfer()
        chunk = parse_events(data)
        if chunk is None:
            self._abort()
            return expression.Error(
                endpoint_errors.EndpointLost(self._endpoint)
            )
        return expression.Ok(chunk)

    async def _wait_for_data(self) -> bool:
        loop = asyncio.get_running_loop()
        self._data_future = loop.create_future()
        self._waiting_since = loop.time()
        if self._silence_timer is None:
            self._check_silence()
        try:
            return await self._data_future
        finally:
            self._data_future = None

    def _check_silence(self) -> None:
        """Ends a wait that exceeded the silence timeout.

        The same timer is re-armed for all waits of the stream.
        """
        if self._closed or self._ended:
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        due = now + self._silence_timeout_s
        if self._data_future is not None:
            due = self._waiting_since + self._silence_timeout_s
        if due <= now:
            self._silence_timer = None
            self._wake_reader(False)
            return
        self._silence_timer = loop.call_at(due, self._check_silence)

    def _wake_reader(self, recheck: bool) -> None:
        if self._data_future is not None and not self._data_future.done():
            self._data_future.set_result(recheck)

    def _abort(self) -> None:
        self._closed = True
        if self._silence_timer is not None:
            self._silence_timer.cancel()
            self._silence_timer = None
        self._resume_transfer()
        self._wake_reader(False)

    def _resume_transfer(self) -> None:
        if self._paused and self._curl is not None and not self._ended:
            self._paused = False
            self._curl.pause(pycurl.PAUSE_CONT)

    # Callbacks of libcurl.

    def _prepare(self, curl: pycurl.Curl) -> None:
        self._curl = curl
        self._reuse.prepare(curl)
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
        self._wake_reader(True)
        return None

    def _on_progress(self, *counts: int) -> int:
        self._upload.on_progress(*counts)
        return 1 if self._closed else 0

    def _on_end(self, fetch: asyncio.Future) -> None:
        self._ended = True
        self._curl = None
        resp = (
            None if fetch.cancelled() or fetch.exception() else fetch.result()
        )
        if resp is not None and self._is_whole(resp):
            self._set_head(StreamHead(self._status, bytes(self._buffer)))
        else:
            error = resp.error if resp is not None else fetch.exception()
            maybe_sent = curl_adapter.may_have_been_sent(error)
            self._set_head(StreamHead(0, maybe_sent=maybe_sent))
        self._wake_reader(True)

    def _is_whole(self, resp: httpclient.HTTPResponse) -> bool:
        """Returns whether an answer is complete and its status the one read."""
        return (
            resp.code == self._status
            and curl_adapter.is_possible_status(resp.code)
            and self._upload.is_answer_whole(resp)
        )

    def _on_head_timeout(self) -> None:
        self._reuse.note_timeout()
        self._set_head(StreamHead(0))
        self._abort()

    def _set_head(self, head: StreamHead) -> None:
        if self._head_future is not None and not self._head_future.done():
            self._head_future.set_result(head)
