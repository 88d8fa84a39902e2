"""Client of engines over HTTP with JSON and server-sent events."""

import json
import urllib.parse

import expression
from tornado import httpclient

from seam_model import codec
from seam_model import endpoint_errors
from seam_model import endpoints
from seam_node.adapters import curl
from seam_node.adapters import engine_stream
from seam_node.ports import engine

CONTROL_TIMEOUT_S = 2.0
TOKEN_SILENCE_TIMEOUT_S = 2.0
STALE_ORDER_STATUS = 409
"""Status of an order that an engine has received already, or a newer one."""
_JSON_HEADERS = {"Content-Type": "application/json", "Expect": ""}


def decode_refusal(
    endpoint: str, status: int, body: bytes
) -> endpoint_errors.EndpointError:
    """Decodes an engine's error answer into a typed error."""
    try:
        plain = json.loads(body)
    except ValueError:
        plain = {}
    if not isinstance(plain, dict):
        plain = {}
    code = plain.get("code")
    for cls in (
        endpoint_errors.EndpointFull,
        endpoint_errors.KvExpired,
        endpoint_errors.TransferFailed,
        endpoint_errors.StreamUnknown,
    ):
        if code == cls.code:
            return cls(endpoint)
    if code == endpoint_errors.OrderFenced.code:
        return endpoint_errors.OrderFenced(endpoint, int(plain.get("fence", 0)))
    return endpoint_errors.OrderRejected(endpoint, status)


class HttpEngine(engine.Engine):
    """Client of one engine over HTTP."""

    def __init__(
        self,
        record: endpoints.EndpointRecord,
        client: httpclient.AsyncHTTPClient,
        silence_timeout_s: float = TOKEN_SILENCE_TIMEOUT_S,
    ):
        """Sets the engine's record, HTTP client and silence timeout."""
        self._name = record.name
        self._url = record.url
        self._client = client
        self._silence_timeout_s = silence_timeout_s
        self._reuse = curl.ConnectionReuse()

    async def prefill(
        self, order: endpoints.PrefillOrder, timeout_s: float
    ) -> expression.Result[
        endpoints.PrefillDone, endpoint_errors.EndpointError
    ]:
        """Computes a prompt's KV cache."""
        answer = await self._call(
            "POST", "/v1/prefill", timeout_s, codec.to_json(order)
        )
        return self._decode(answer, endpoints.PrefillDone)

    async def decode(
        self, order: endpoints.DecodeOrder, timeout_s: float
    ) -> expression.Result[engine.DecodeStream, endpoint_errors.EndpointError]:
        """Imports a KV cache and starts a stream."""
        return await self._open_stream(
            "/v1/decode", codec.to_json(order), timeout_s
        )

    async def resume(
        self, order: endpoints.ResumeOrder, timeout_s: float
    ) -> expression.Result[engine.DecodeStream, endpoint_errors.EndpointError]:
        """Attaches to a stream after an event id."""
        return await self._open_stream(
            "/v1/resume", codec.to_json(order), timeout_s
        )

    async def cancel(
        self, request_id: str, incarnation: int
    ) -> expression.Result[None, endpoint_errors.EndpointError]:
        """Frees a request's resources at the engine."""
        path = f"/v1/streams/{request_id}?incarnation={incarnation}"
        answer = await self._call("DELETE", path, CONTROL_TIMEOUT_S)
        return self._body_or_error(answer).map(lambda _: None)

    async def load(
        self,
    ) -> expression.Result[endpoints.LoadReport, endpoint_errors.EndpointError]:
        """Returns the engine's load report."""
        answer = await self._call("GET", "/v1/load", CONTROL_TIMEOUT_S)
        return self._decode(answer, endpoints.LoadReport)

    async def cache_events(
        self, after: int
    ) -> expression.Result[
        tuple[endpoints.CacheEvent, ...], endpoint_errors.EndpointError
    ]:
        """Returns cache events after a sequence number."""
        path = f"/v1/cache-events?after={after}"
        answer = await self._call("GET", path, CONTROL_TIMEOUT_S)
        return self._decode(answer, tuple[endpoints.CacheEvent, ...])

    async def configure(
        self, order: endpoints.ModelOrder, timeout_s: float
    ) -> expression.Result[None, endpoint_errors.EndpointError]:
        """Sets role, models and adapters."""
        answer = await self._call(
            "POST", "/v1/configure", timeout_s, codec.to_json(order)
        )
        return self._body_or_error(answer).map(lambda _: None)

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes | None = None,
    ) -> curl.Answer:
        url = urllib.parse.urljoin(self._url, path)
        return await curl.exchange(
            self._client,
            method,
            url,
            timeout_s,
            body,
            _JSON_HEADERS,
            reuse=self._reuse,
        )

    def _body_or_error(
        self, answer: curl.Answer
    ) -> expression.Result[bytes, endpoint_errors.EndpointError]:
        if answer.status == 0:
            return expression.Error(self._no_answer_error(answer.maybe_sent))
        if answer.status >= 300:
            return expression.Error(
                decode_refusal(self._name, answer.status, answer.body)
            )
        return expression.Ok(answer.body)

    def _decode(self, answer: curl.Answer, cls: type) -> expression.Result:
        body = self._body_or_error(answer)
        if body.is_error():
            return body
        parsed = codec.from_json(body.ok, cls)
        if parsed.is_error():
            return expression.Error(
                endpoint_errors.OrderRejected(self._name, answer.status)
            )
        return parsed

    async def _open_stream(
        self, path: str, body: bytes, timeout_s: float
    ) -> expression.Result[engine.DecodeStream, endpoint_errors.EndpointError]:
        stream = engine_stream.CurlDecodeStream(
            self._name, self._silence_timeout_s, self._reuse
        )
        url = urllib.parse.urljoin(self._url, path)
        head = await stream.open(self._client, url, body, timeout_s)
        if head.status == 200:
            return expression.Ok(stream)
        await stream.close()
        if head.status == 0:
            return expression.Error(self._no_answer_error(head.maybe_sent))
        error = decode_refusal(self._name, head.status, head.body)
        if error == endpoint_errors.OrderRejected(
            self._name, STALE_ORDER_STATUS
        ):
            # libcurl repeats an order by itself if a reused connection ends
            # before its answer. The answer of the first one is lost.
            error = endpoint_errors.EndpointLost(self._name)
        return expression.Error(error)

    def _no_answer_error(
        self, maybe_sent: bool
    ) -> endpoint_errors.EndpointError:
        if maybe_sent:
            return endpoint_errors.EndpointLost(self._name)
        return endpoint_errors.EndpointUnreachable(self._name)


class HttpEngineFactory(engine.EngineFactory):
    """Creates engine clients that share one curl client."""

    def __init__(self, silence_timeout_s: float = TOKEN_SILENCE_TIMEOUT_S):
        """Sets the longest allowed gap between tokens, in seconds."""
        self._client = curl.make_client()
        self._silence_timeout_s = silence_timeout_s

    def engine(self, record: endpoints.EndpointRecord) -> engine.Engine:
        """Returns a client of the engine that a record describes."""
        return HttpEngine(record, self._client, self._silence_timeout_s)

    async def close(self) -> None:
        """Closes every connection."""
        self._client.close()
