"""Client of the platform over HTTP.

An object is the raw body of `/v1/objects/{key}`, with its version in
`X-Version`. A write carries the expected version in `If-Version`; on a mismatch
it is answered with 409 and the current version. A watch is a long poll with the
query arguments `above` and `timeout_s`.
"""

import json
from typing import Any
import urllib.parse

import attrs
import expression
import pycurl
import tornado.curl_httpclient
import tornado.httpclient

from seam_model import codec
from seam_model import endpoints
from seam_model import platform_errors
from seam_node.adapters import curl
from seam_node.ports import platform

MAX_CLIENTS = 512
WATCH_MARGIN_S = 1.0
"""Time allowed for the answer of a watch after its wait has ended."""
NO_CONTENT = 204
NOT_MODIFIED = 304
NOT_FOUND = 404
CONFLICT = 409
_OK = (200, NO_CONTENT)
_NOT_SENT_CODES = frozenset(
    {
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_RESOLVE_PROXY,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_URL_MALFORMAT,
    }
)
"""libcurl errors that occur before any byte of the request is sent."""


@attrs.frozen
class _Call:
    operation: str
    method: str
    path: str
    body: bytes | None = None
    expected: int | None = None
    wait_s: float = 0.0
    etag: str = ""
    """Entity tag of the cached answer; empty if there is none."""


class HttpPlatform(platform.Platform):
    """Client of the platform with its own curl client."""

    def __init__(self, url: str, timeout_s: float, token: str = ""):
        """Sets the base URL, the timeout of a call and the bearer token."""
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._client: Any = None
        self._reuse = curl.ConnectionReuse()
        self._fleet: endpoints.FleetList | None = None
        self._fleet_etag = ""

    async def start(self) -> None:
        """Opens the client."""
        self._client = tornado.curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    async def close(self) -> None:
        """Closes the client."""
        client, self._client = self._client, None
        if client is not None:
            client.close()

    async def get(
        self, key: str
    ) -> expression.Result[platform.Stored, platform_errors.PlatformError]:
        """Returns an object, or `ObjectMissing`."""
        result = await self._send(_Call("get", "GET", _object_path(key)))
        return result.bind(lambda resp: _decode_object(key, resp))

    async def put(
        self, key: str, data: bytes, expected: int
    ) -> expression.Result[int, platform_errors.PlatformError]:
        """Writes if the current version is `expected`; returns the new one."""
        call = _Call("put", "PUT", _object_path(key), data, expected)
        result = await self._send(call)
        if result.is_error():
            return result
        if result.ok.code == CONFLICT:
            return expression.Error(_conflict_error(key, expected, result.ok))
        version = _decode_version(result.ok)
        if version is None:
            return expression.Error(platform_errors.PlatformAmbiguous("put"))
        return expression.Ok(version)

    async def delete(
        self, key: str, expected: int
    ) -> expression.Result[None, platform_errors.PlatformError]:
        """Deletes an object if its current version is `expected`."""
        path = _object_path(key)
        call = _Call("delete", "DELETE", path, expected=expected)
        result = await self._send(call)
        if result.is_ok() and result.ok.code == CONFLICT:
            return expression.Error(_conflict_error(key, expected, result.ok))
        return result.map(lambda _: None)

    async def list_keys(
        self, prefix: str
    ) -> expression.Result[tuple[str, ...], platform_errors.PlatformError]:
        """Returns the keys that start with `prefix`, sorted."""
        query = urllib.parse.urlencode({"prefix": prefix})
        call = _Call("list", "GET", f"/v1/objects?{query}")
        result = await self._send(call)
        if result.is_error():
            return result
        try:
            keys = json.loads(result.ok.body)["keys"]
            return expression.Ok(tuple(sorted(str(key) for key in keys)))
        except (ValueError, KeyError, TypeError):
            return expression.Error(platform_errors.PlatformUnavailable("list"))

    async def watch(
        self, key: str, above: int, timeout_s: float
    ) -> expression.Result[
        platform.Stored | None, platform_errors.PlatformError
    ]:
        """Waits for a version above `above`; returns None on timeout."""
        query = urllib.parse.urlencode({"above": above, "timeout_s": timeout_s})
        path = f"{_object_path(key)}?{query}"
        result = await self._send(_Call("watch", "GET", path, wait_s=timeout_s))
        if result.is_ok() and result.ok.code == NO_CONTENT:
            return expression.Ok(None)
        return result.bind(lambda resp: _decode_object(key, resp))

    async def fleet(
        self,
    ) -> expression.Result[endpoints.FleetList, platform_errors.PlatformError]:
        """Returns the list of instances and endpoints, which may lag."""
        result = await self._send(
            _Call("fleet", "GET", "/v1/fleet", etag=self._fleet_etag)
        )
        if result.is_error():
            return result
        if result.ok.code == NOT_MODIFIED:
            return expression.Ok(self._fleet)
        listed = codec.from_json(result.ok.body, endpoints.FleetList)
        if listed.is_error():
            return expression.Error(
                platform_errors.PlatformUnavailable("fleet")
            )
        self._fleet = listed.ok
        self._fleet_etag = result.ok.headers.get("Etag", "")
        return listed

    async def announce(
        self, record: endpoints.InstanceRecord
    ) -> expression.Result[None, platform_errors.PlatformError]:
        """Lists this instance; must be repeated to keep it listed."""
        name = urllib.parse.quote(record.name, safe="")
        path = f"/v1/fleet/instances/{name}"
        call = _Call("announce", "PUT", path, codec.to_json(record))
        return (await self._send(call)).map(lambda _: None)

    async def _send(self, call: _Call) -> expression.Result:
        """Returns the response, or an error by the effect of the call.

        `PlatformUnavailable`: the call had no effect. `PlatformAmbiguous`: it
        may have had one.
        """
        if self._client is None:
            return expression.Error(
                platform_errors.PlatformUnavailable(call.operation)
            )
        upload = curl.Upload(call.body)
        try:
            resp = await self._client.fetch(
                self._request(call, upload), raise_error=False
            )
        except (tornado.httpclient.HTTPError, OSError) as exc:
            if curl.is_timeout(exc):
                self._reuse.note_timeout()
            return expression.Error(_error_for(call, exc))
        if not upload.is_answer_whole(resp):
            return expression.Error(_error_for(call, resp.error))
        if resp.code == NOT_FOUND and call.operation in ("get", "watch"):
            return expression.Ok(resp)
        if resp.code == NOT_MODIFIED and call.etag:
            return expression.Ok(resp)
        if resp.code in (*_OK, CONFLICT):
            return expression.Ok(resp)
        return expression.Error(_error_for(call, resp.error))

    def _request(
        self, call: _Call, upload: curl.Upload
    ) -> tornado.httpclient.HTTPRequest:
        def prepare(handle: pycurl.Curl) -> None:
            self._reuse.prepare(handle)
            upload.prepare(handle)

        headers = dict(self._headers)
        if call.expected is not None:
            headers["If-Version"] = str(call.expected)
        if call.etag:
            headers["If-None-Match"] = call.etag
        timeout_s = self._timeout_s
        if call.wait_s:
            timeout_s = call.wait_s + min(timeout_s, WATCH_MARGIN_S)
        return tornado.httpclient.HTTPRequest(
            self._url + call.path,
            method=call.method,
            headers=headers,
            body=call.body,
            connect_timeout=self._timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            prepare_curl_callback=prepare,
        )


def _error_for(call: _Call, exc: Any) -> platform_errors.PlatformError:
    if call.method == "GET" or getattr(exc, "errno", None) in _NOT_SENT_CODES:
        return platform_errors.PlatformUnavailable(call.operation)
    return platform_errors.PlatformAmbiguous(call.operation)


def _object_path(key: str) -> str:
    return "/v1/objects/" + urllib.parse.quote(key, safe="")


def _decode_version(resp: tornado.httpclient.HTTPResponse) -> int | None:
    text = resp.headers.get("X-Version", "")
    return int(text) if text.isdecimal() else None


def _conflict_error(
    key: str, expected: int, resp: tornado.httpclient.HTTPResponse
) -> platform_errors.VersionConflict:
    return platform_errors.VersionConflict(
        key, expected, _decode_version(resp) or 0
    )


def _decode_object(
    key: str, resp: tornado.httpclient.HTTPResponse
) -> expression.Result[platform.Stored, platform_errors.PlatformError]:
    if resp.code == NOT_FOUND:
        return expression.Error(platform_errors.ObjectMissing(key))
    version = _decode_version(resp)
    if version is None:
        return expression.Error(platform_errors.PlatformUnavailable("get"))
    return expression.Ok(platform.Stored(key, version, resp.body))
