"""The curl client that the HTTP adapters share."""

import asyncio
import os
import socket

import attrs
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from seam_node.adapters import tcp

MAX_CONNECTIONS = 4096
CONNECT_TIMEOUT_S = 2.0
MAX_IDLE_S = 10
"""How long a kept connection may rest and still be used again."""

_NO_ANSWER_STATUS = 599
"""Tornado's own code for a missing answer; no endpoint sends it."""

# libcurl result codes of attempts that sent no byte to the endpoint.
_NOT_SENT = frozenset({5, 6, 7, 45})


@attrs.frozen
class Answer:
    """Outcome of one HTTP exchange.

    `status` is 0 when no answer came; `sent` then says whether the endpoint
    may have received the request.
    """

    status: int
    body: bytes
    content_type: str = ""
    sent: bool = True


def make_client() -> httpclient.AsyncHTTPClient:
    """Returns a curl client of its own for one adapter."""
    return curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=MAX_CONNECTIONS
    )


class KeptConnections:
    """Decides whether calls to one address may use kept connections.

    A call that timed out may have met a connection that has gone silent, and
    others of the same age may be silent too. So new ones are opened until
    every one that rested then is too old to be used again.
    """

    def __init__(self, detect_silence: bool = False) -> None:
        """Starts with every connection trusted.

        With `detect_silence`, the kernel breaks a connection whose other side
        stops answering, also while a long call waits.
        """
        self._detect_silence = detect_silence
        self._fresh_until = float("-inf")

    def note_timeout(self) -> None:
        """Records that a call was not answered in time."""
        now = asyncio.get_running_loop().time()
        self._fresh_until = now + MAX_IDLE_S

    def prepare(self, curl: pycurl.Curl) -> None:
        """Sets the options of one call."""
        now = asyncio.get_running_loop().time()
        curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_S)
        curl.setopt(pycurl.FRESH_CONNECT, int(now < self._fresh_until))
        if self._detect_silence:
            curl.setopt(pycurl.SOCKOPTFUNCTION, _detect_silence)


def _detect_silence(fd: int, purpose: int) -> int:
    """Sets the options of a socket that libcurl has opened."""
    del purpose
    with socket.socket(fileno=os.dup(fd)) as sock:
        tcp.enable_dead_peer_detection(sock)
    return pycurl.SOCKOPT_OK


def _use_fresh_connection(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def timed_out(exc: BaseException | None) -> bool:
    """Tells whether a failed exchange waited in vain."""
    return getattr(exc, "errno", None) == pycurl.E_OPERATION_TIMEDOUT


def was_sent(exc: BaseException) -> bool:
    """Tells whether a failed exchange may have reached the endpoint."""
    errno = getattr(exc, "errno", None)
    return errno not in _NOT_SENT


async def exchange(
    client: httpclient.AsyncHTTPClient,
    method: str,
    url: str,
    timeout_s: float,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    at_most_once: bool = False,
    kept: KeptConnections | None = None,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> Answer:
    """Sends one request and waits for the whole answer.

    With `at_most_once`, a new connection is opened: libcurl resends a request
    by itself when a reused connection breaks before the first byte of the
    answer, which would run a non-idempotent call twice.
    """
    if body is None and method in ("POST", "PUT"):
        body = b""
    prepare = kept.prepare if kept is not None else None
    req = httpclient.HTTPRequest(
        url,
        method=method,
        body=body,
        headers=headers,
        connect_timeout=min(connect_timeout_s, timeout_s),
        request_timeout=timeout_s,
        follow_redirects=False,
        allow_nonstandard_methods=True,
        prepare_curl_callback=_use_fresh_connection
        if at_most_once
        else prepare,
    )
    try:
        resp = await client.fetch(req, raise_error=False)
    except (OSError, httpclient.HTTPError) as exc:
        if kept is not None and timed_out(exc):
            kept.note_timeout()
        return Answer(0, b"", sent=was_sent(exc))
    if resp.code == _NO_ANSWER_STATUS:
        connected = resp.time_info.get("pretransfer", 0.0) > 0.0
        return Answer(0, b"", sent=connected and was_sent(resp.error))
    return Answer(
        resp.code,
        resp.body or b"",
        resp.headers.get("Content-Type", ""),
    )
