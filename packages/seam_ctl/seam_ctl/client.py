"""Client of the instances' admin API; usable without the command line.

    client = AdminClient("http://127.0.0.1:8081", token)
    result = asyncio.run(client.status())

Each method returns an `expression.Result`: an answer of type `seam_model.admin`
or the typed error that the instance returned. Errors of the client itself are
`AdminUnreachable` and `AdminAnswerUnknown`.
"""

from typing import Any
from urllib import parse
import uuid

import attrs
import expression
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from seam_model import admin
from seam_model import codec
from seam_model import config
from seam_model import errors
from seam_model import operator_errors

CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 30.0
"""Longer than a change takes to be accepted when the platform is slow."""

_JSON = {"Content-Type": "application/json", "Expect": ""}
_OK = 200
_TRY_NEXT_URL = (operator_errors.AdminUnreachable, errors.InstanceNotReady)
# libcurl result codes of calls that failed before any byte was sent.
_NOT_SENT = frozenset(
    {
        pycurl.E_COULDNT_RESOLVE_PROXY,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_INTERFACE_FAILED,
    }
)


def new_change_id() -> str:
    """Returns an id for one change; a retry of the change uses the same id."""
    return str(uuid.uuid4())


class AdminClient:
    """Sends requests to a list of instances until one of them answers.

    Trying the next instance is safe for changes too: they are idempotent by
    their change id, so a change that was already accepted is not applied again.
    """

    def __init__(
        self, urls: str, token: str, timeout_s: float = ANSWER_TIMEOUT_S
    ):
        """Creates a client.

        Args:
          urls: One admin base URL, or several separated by commas.
          token: The operator's token.
          timeout_s: Timeout of each request.
        """
        parts = (url.strip().rstrip("/") for url in urls.split(","))
        self._urls = tuple(url for url in parts if url)
        self._token = token
        self._timeout_s = timeout_s

    # Configuration

    async def config(self) -> expression.Result:
        """Returns the `ConfigView` in force."""
        return await self._get("/v1/config", admin.ConfigView)

    async def check(self, toml: str) -> expression.Result:
        """Validates a draft; returns a `CheckAnswer` or `ConfigInvalid`."""
        body = admin.CheckRequest(toml)
        return await self._post("/v1/config/check", body, admin.CheckAnswer)

    async def apply(
        self, toml: str, why: str, expected_version: int, change_id: str
    ) -> expression.Result:
        """Makes a draft the next version and returns the `Change`.

        Errors: `ConfigConflict` describes the change that was accepted first.
        After `PlatformAmbiguous` or `AdminUnreachable`, repeat the call with
        the same change id to find out whether the change was accepted.
        """
        body = admin.ApplyRequest(toml, why, expected_version, change_id)
        return await self._post("/v1/config/apply", body, config.Change)

    async def changes_since(self, version: int) -> expression.Result:
        """Returns the changes after a version as a `ChangeList`.

        Only changes that the configuration object still keeps are included.
        """
        path = f"/v1/config/diff?since={version}"
        return await self._get(path, admin.ChangeList)

    async def history(self) -> expression.Result:
        """Returns the changes that the configuration object keeps."""
        return await self._get("/v1/config/history", admin.ChangeList)

    async def audit(self, before: int, limit: int) -> expression.Result:
        """Returns a page of the audit trail, newest change first."""
        path = f"/v1/audit?before={before}&limit={limit}"
        return await self._get(path, admin.ChangeList)

    # Exceptions

    async def exceptions(self) -> expression.Result:
        """Returns the `ExceptionList` in force."""
        return await self._get("/v1/exceptions", admin.ExceptionList)

    async def add_exception(
        self, body: admin.ExceptionRequest
    ) -> expression.Result:
        """Adds an exception and returns the `Change`."""
        return await self._post("/v1/exceptions", body, config.Change)

    async def remove_exception(
        self, rule_id: str, body: admin.RemoveRequest
    ) -> expression.Result:
        """Removes an exception and returns the `Change`."""
        path = "/v1/exceptions/" + parse.quote(rule_id, safe="")
        return await self._send("DELETE", path, body, config.Change)

    # Instances and requests

    async def status(self) -> expression.Result:
        """Returns the `FleetStatus`."""
        return await self._get("/v1/status", admin.FleetStatus)

    async def drain(self, instance: str, why: str) -> expression.Result:
        """Drains the instance behind the URL, which must be the named one."""
        body = admin.DrainRequest(instance, why)
        return await self._post("/v1/drain", body, admin.DrainAnswer)

    async def explain(self, request: str) -> expression.Result:
        """Returns the `Explanation` of a request."""
        path = "/v1/explain/" + parse.quote(request, safe="")
        return await self._get(path, admin.Explanation)

    # Transport

    async def _get(self, path: str, cls: type) -> expression.Result:
        return await self._send("GET", path, None, cls)

    async def _post(self, path: str, body: Any, cls: type) -> expression.Result:
        return await self._send("POST", path, body, cls)

    async def _send(
        self, method: str, path: str, body: Any, cls: type
    ) -> expression.Result:
        """Sends a request to one instance after another until one answers."""
        sent = False
        result: expression.Result = expression.Error(
            operator_errors.AdminUnreachable("", sent)
        )
        for url in self._urls:
            result = await self._send_to(url, method, path, body, cls)
            if result.is_ok() or not isinstance(result.error, _TRY_NEXT_URL):
                return result
            sent = sent or getattr(result.error, "sent", False)
        if sent:
            # An instance may have applied the change although a later one
            # returned another error.
            urls = ",".join(self._urls)
            return expression.Error(
                operator_errors.AdminUnreachable(urls, True)
            )
        return result

    async def _send_to(
        self, url: str, method: str, path: str, body: Any, cls: type
    ) -> expression.Result:
        req = httpclient.HTTPRequest(
            url + path,
            method=method,
            body=None if body is None else codec.to_json(body),
            headers={**_JSON, "Authorization": f"Bearer {self._token}"},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=self._timeout_s,
            follow_redirects=False,
            allow_nonstandard_methods=True,
        )
        client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
        try:
            resp = await client.fetch(req)
        except httpclient.HTTPError as exc:
            return expression.Error(_failure(method, url, exc))
        except OSError:
            may_change = method != "GET"
            return expression.Error(
                operator_errors.AdminUnreachable(url, may_change)
            )
        finally:
            client.close()
        return _parse(resp, cls)


def _failure(
    method: str, url: str, exc: httpclient.HTTPError
) -> errors.SeamError:
    errno = getattr(exc, "errno", None)
    if errno is not None or exc.response is None:
        sent = method != "GET" and errno not in _NOT_SENT
        return operator_errors.AdminUnreachable(url, sent)
    body = codec.from_json(exc.response.body, admin.ErrorBody)
    error = admin.error_from_body(body.ok) if body.is_ok() else None
    if error is not None:
        return error
    text = exc.response.body.decode("utf-8", "replace")[:200]
    return operator_errors.AdminAnswerUnknown(exc.code, text)


def _parse(
    resp: httpclient.HTTPResponse, cls: type
) -> expression.Result[Any, errors.SeamError]:
    parsed = codec.from_json(resp.body, cls)
    if resp.code == _OK and parsed.is_ok():
        return parsed
    detail = "" if parsed.is_ok() else parsed.error.describe()
    return expression.Error(
        operator_errors.AdminAnswerUnknown(resp.code, detail)
    )


@attrs.frozen
class DrainResult:
    """Admin URL of a drained instance and its answer."""

    admin_url: str
    answer: admin.DrainAnswer


async def drain_instance(
    client: AdminClient, token: str, name: str, why: str
) -> expression.Result[DrainResult, errors.SeamError]:
    """Looks up an instance through another one and drains it.

    Errors: `NotFound` if no such instance is listed.
    """
    status = await client.status()
    if status.is_error():
        return status
    for instance in status.ok.instances:
        if instance.name == name and instance.admin_url:
            target = AdminClient(instance.admin_url, token)
            answer = await target.drain(name, why)
            return answer.map(lambda ok: DrainResult(instance.admin_url, ok))  # noqa: B023
    return expression.Error(operator_errors.NotFound("instance", name))
