"""Asks instances' operators' addresses; usable without the command line.

    client = AdminClient("http://127.0.0.1:8081", token)
    result = asyncio.run(client.status())

Each method returns an `expression.Result`: the answer of `seam_model.admin`,
or a typed failure as the instance gave it. Failures of this side are
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

CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 30.0
"""Longer than a change may take to be settled with a slow platform."""

_JSON = {"Content-Type": "application/json", "Expect": ""}
_OK = 200
_ASK_THE_NEXT = (errors.AdminUnreachable, errors.InstanceNotReady)
# libcurl result codes of attempts that sent no byte.
_NOT_SENT = frozenset(
    {
        pycurl.E_COULDNT_RESOLVE_PROXY,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_INTERFACE_FAILED,
    }
)


def new_change_id() -> str:
    """Returns a new id for one change; a repeat uses the same id."""
    return str(uuid.uuid4())


class AdminClient:
    """Asks the first instance that answers.

    Going on with the next one is safe for changes too: the change id goes
    along, and a change that was accepted already is answered, not repeated.
    """

    def __init__(
        self, urls: str, token: str, timeout_s: float = ANSWER_TIMEOUT_S
    ):
        """Takes operators' base URLs, the token and the longest wait.

        Args:
          urls: One base URL, or several with commas between them.
          token: The operator's token.
          timeout_s: Longest wait for each answer.
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
        """Returns the `CheckAnswer` of a draft, or `ConfigInvalid`."""
        body = admin.CheckRequest(toml)
        return await self._post("/v1/config/check", body, admin.CheckAnswer)

    async def apply(
        self, toml: str, why: str, expected_version: int, change_id: str
    ) -> expression.Result:
        """Makes a draft the next version and returns the `Change`.

        Errors: `ConfigConflict` says who, when and what came first. After
        `PlatformAmbiguous` or `AdminUnreachable`, the same call with the same
        change id settles whether the change was accepted.
        """
        body = admin.ApplyRequest(toml, why, expected_version, change_id)
        return await self._post("/v1/config/apply", body, config.Change)

    async def changes_since(self, version: int) -> expression.Result:
        """Returns the kept changes after a version as a `ChangeList`."""
        path = f"/v1/config/diff?since={version}"
        return await self._get(path, admin.ChangeList)

    async def history(self) -> expression.Result:
        """Returns the changes that the configuration object keeps."""
        return await self._get("/v1/config/history", admin.ChangeList)

    async def audit(self, before: int, limit: int) -> expression.Result:
        """Returns a page of all changes, newest first."""
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
        """Makes the asked instance leave; it must be the named one."""
        body = admin.DrainRequest(instance, why)
        return await self._post("/v1/drain", body, admin.DrainAnswer)

    async def explain(self, request: str) -> expression.Result:
        """Returns the `Explanation` of a request."""
        path = "/v1/explain/" + parse.quote(request, safe="")
        return await self._get(path, admin.Explanation)

    # Exchange

    async def _get(self, path: str, cls: type) -> expression.Result:
        return await self._send("GET", path, None, cls)

    async def _post(self, path: str, body: Any, cls: type) -> expression.Result:
        return await self._send("POST", path, body, cls)

    async def _send(
        self, method: str, path: str, body: Any, cls: type
    ) -> expression.Result:
        """Asks one instance after the other until one can answer."""
        sent = False
        result: expression.Result = expression.Error(
            errors.AdminUnreachable("", sent)
        )
        for url in self._urls:
            result = await self._send_to(url, method, path, body, cls)
            if result.is_ok() or not isinstance(result.error, _ASK_THE_NEXT):
                return result
            sent = sent or getattr(result.error, "sent", False)
        if sent:
            # One of them may have acted, whatever the last one said.
            urls = ",".join(self._urls)
            return expression.Error(errors.AdminUnreachable(urls, True))
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
            changes = method != "GET"
            return expression.Error(errors.AdminUnreachable(url, changes))
        finally:
            client.close()
        return _parse(resp, cls)


def _failure(
    method: str, url: str, exc: httpclient.HTTPError
) -> errors.SeamError:
    errno = getattr(exc, "errno", None)
    if errno is not None or exc.response is None:
        sent = method != "GET" and errno not in _NOT_SENT
        return errors.AdminUnreachable(url, sent)
    body = codec.from_json(exc.response.body, admin.ErrorBody)
    error = admin.error_from_body(body.ok) if body.is_ok() else None
    if error is not None:
        return error
    text = exc.response.body.decode("utf-8", "replace")[:200]
    return errors.AdminAnswerUnknown(exc.code, text)


def _parse(
    resp: httpclient.HTTPResponse, cls: type
) -> expression.Result[Any, errors.SeamError]:
    made = codec.from_json(resp.body, cls)
    if resp.code == _OK and made.is_ok():
        return made
    detail = "" if made.is_ok() else made.error.describe()
    return expression.Error(errors.AdminAnswerUnknown(resp.code, detail))


@attrs.frozen
class Drained:
    """What became of an order to leave."""

    admin_url: str
    answer: admin.DrainAnswer


async def drain_instance(
    client: AdminClient, token: str, name: str, why: str
) -> expression.Result[Drained, errors.SeamError]:
    """Finds an instance through another one and tells it to leave.

    Errors: `NotFound` when no such instance is listed.
    """
    status = await client.status()
    if status.is_error():
        return status
    for instance in status.ok.instances:
        if instance.name == name and instance.admin_url:
            there = AdminClient(instance.admin_url, token)
            answer = await there.drain(name, why)
            return answer.map(lambda ok: Drained(instance.admin_url, ok))  # noqa: B023
    return expression.Error(errors.NotFound("instance", name))
