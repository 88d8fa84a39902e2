"""The curl client that the HTTP adapters share."""

import asyncio
from collections.abc import Mapping
import os
import socket
import types

import attrs
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from seam_node.adapters import tcp

MAX_CONNECTIONS = 4096
CONNECT_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_IDLE_S = 10
"""Longest idle time after which a connection is still reused."""

MIN_STATUS = 200
MAX_STATUS = 599
"""Range of the statuses that a final answer may have."""
SMALL_BODY_BYTES = 16 * 1024
"""Size up to which a request's body is sent at once with its head."""

_TORNADO_NO_ANSWER = 599
"""Status that tornado sets when no answer came; endpoints do not send it."""

# libcurl result codes of calls that failed before any byte was sent.
_NOT_SENT_CODES = frozenset({5, 6, 7, 45})


@attrs.frozen
class Answer:
    """Outcome of one HTTP exchange.

    `status` is 0 when no answer came; `maybe_sent` then tells whether the
    endpoint may have received the request.
    """

    status: int
    body: bytes
    content_type: str = ""
    maybe_sent: bool = True
    headers: Mapping[str, str] = types.MappingProxyType({})


def make_client() -> httpclient.AsyncHTTPClient:
    """Returns a new curl client, which its caller closes."""
    return curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=MAX_CONNECTIONS
    )


class ConnectionReuse:
    """Decides whether calls to one address may reuse idle connections.

    A call may time out because its connection is dead without having been
    closed, and other connections of the same age may be dead as well. After a
    timeout, new connections are therefore opened until every connection that
    was idle at that time has exceeded `MAX_IDLE_S`.
    """

    def __init__(self, detect_dead_peers: bool = False) -> None:
        """Allows reuse until the first timeout.

        With `detect_dead_peers`, the kernel closes a connection whose other
        end stops acknowledging, also during a call that waits for long.
        """
        self._detect_dead_peers = detect_dead_peers
        self._no_reuse_until = float("-inf")

    def note_timeout(self) -> None:
        """Disables reuse for `MAX_IDLE_S` after a call that timed out."""
        now = asyncio.get_running_loop().time()
        self._no_reuse_until = now + MAX_IDLE_S

    def prepare(self, curl: pycurl.Curl) -> None:
        """Sets the connection options of one call."""
        now = asyncio.get_running_loop().time()
        curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_S)
        curl.setopt(pycurl.FRESH_CONNECT, int(now < self._no_reuse_until))
        if self._detect_dead_peers:
            curl.setopt(pycurl.SOCKOPTFUNCTION, _enable_dead_peer_detection)


class Upload:
    """Tells whether the body of one request was sent to its end.

    libcurl takes an answer without length for complete once the connection
    ends. If that was in the middle of the request, only a part of the answer
    may have come.
    """

    def __init__(self, body: bytes | None):
        """Takes the body of the request; None for a request without one."""
        self._size = len(body or b"")
        self._sent = 0

    def prepare(self, curl: pycurl.Curl) -> None:
        """Begins to observe the call."""
        if self._size > SMALL_BODY_BYTES:
            curl.setopt(pycurl.NOPROGRESS, False)
            curl.setopt(pycurl.XFERINFOFUNCTION, self.on_progress)

    def is_answer_whole(self, resp: httpclient.HTTPResponse) -> bool:
        """Returns whether an answer that has ended is whole."""
        fields = resp.headers
        if "Content-Length" in fields or "Transfer-Encoding" in fields:
            return True
        return self._size <= SMALL_BODY_BYTES or self._sent >= self._size

    def on_progress(self, *counts: int) -> int:
        """Records the bytes sent, which are the last of libcurl's counts.

        It also reports them once at the end of the exchange. The result tells
        it to go on.
        """
        self._sent = counts[-1]
        return 0


def _enable_dead_peer_detection(fd: int, purpose: int) -> int:
    """Sets the options of a socket that libcurl has opened."""
    del purpose
    with socket.socket(fileno=os.dup(fd)) as sock:
        tcp.enable_dead_peer_detection(sock)
    return pycurl.SOCKOPT_OK


def _use_fresh_connection(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def is_timeout(exc: BaseException | None) -> bool:
    """Returns whether an exchange failed with a timeout."""
    return getattr(exc, "errno", None) == pycurl.E_OPERATION_TIMEDOUT


def is_possible_status(status: int) -> bool:
    """Returns whether a final answer of HTTP may have a status."""
    return MIN_STATUS <= status <= MAX_STATUS


def may_have_been_sent(exc: BaseException) -> bool:
    """Returns whether a failed exchange may have reached the endpoint."""
    errno = getattr(exc, "errno", None)
    return errno not in _NOT_SENT_CODES


async def exchange(
    client: httpclient.AsyncHTTPClient,
    method: str,
    url: str,
    timeout_s: float,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    at_most_once: bool = False,
    reuse: ConnectionReuse | None = None,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> Answer:
    """Sends one request and waits for the whole answer.

    With `at_most_once`, a new connection is opened: libcurl resends a request
    by itself when a reused connection breaks before the first byte of the
    answer, which would run a non-idempotent call twice. An answer whose body
    is larger than `max_body_bytes` counts as none, and so does a malformed one.
    """
    if body is None and method in ("POST", "PUT"):
        body = b""

    upload = Upload(body)

    def prepare(handle: pycurl.Curl) -> None:
        handle.setopt(pycurl.MAXFILESIZE_LARGE, max_body_bytes)
        upload.prepare(handle)
        if at_most_once:
            _use_fresh_connection(handle)
        elif reuse is not None:
            reuse.prepare(handle)

    req = httpclient.HTTPRequest(
        url,
        method=method,
        body=body,
        headers=headers,
        connect_timeout=min(connect_timeout_s, timeout_s),
        request_timeout=timeout_s,
        follow_redirects=False,
        allow_nonstandard_methods=True,
        prepare_curl_callback=prepare,
    )
    try:
        resp = await client.fetch(req, raise_error=False)
    except (OSError, httpclient.HTTPError) as exc:
        if reuse is not None and is_timeout(exc):
            reuse.note_timeout()
        return Answer(0, b"", maybe_sent=may_have_been_sent(exc))
    if resp.code == _TORNADO_NO_ANSWER:
        connected = resp.time_info.get("pretransfer", 0.0) > 0.0
        return Answer(
            0, b"", maybe_sent=connected and may_have_been_sent(resp.error)
        )
    if not is_possible_status(resp.code) or not upload.is_answer_whole(resp):
        return Answer(0, b"")
    return Answer(
        resp.code,
        resp.body or b"",
        resp.headers.get("Content-Type", ""),
        headers=resp.headers,
    )
