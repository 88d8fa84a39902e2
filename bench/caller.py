"""HTTP client for entry instances, used by the demo, tests and load tools."""

import asyncio
import json
from typing import Any

import attrs
from tornado import httpclient

from seam_node.adapters import curl

_EVENT_END = b"\n\n"


@attrs.define
class Answer:
    """The response to one request, as the caller received it."""

    request_id: str
    status: int = 0
    events: list[int] = attrs.field(factory=list)
    """Event ids in order of arrival."""
    texts: list[str] = attrs.field(factory=list)
    times_s: list[float] = attrs.field(factory=list)
    """Event loop time at which each event arrived."""
    done: bool = False
    refusal: dict[str, Any] | None = None

    @property
    def last_seq(self) -> int:
        """Returns the id of the last event, or 0 if none arrived."""
        return self.events[-1] if self.events else 0


class Caller:
    """Sends requests on behalf of one workspace."""

    def __init__(
        self, client: httpclient.AsyncHTTPClient, workspace: str, token: str
    ):
        """Creates a caller that sends the workspace's token."""
        self._client = client
        self.workspace = workspace
        self._token = token

    async def generate(
        self,
        url: str,
        fields: dict[str, Any],
        answer: Answer | None = None,
        stop_after: int = 0,
    ) -> Answer:
        """Sends a model request and reads its stream.

        Args:
            url: Base URL of an instance.
            fields: Request body without the workspace.
            answer: Answer to fill; its stream is resumed if it has a status.
            stop_after: Closes the connection after this many events.
        """
        headers = self._headers()
        answer = answer or Answer(fields["id"])
        if answer.status:
            headers["Last-Event-ID"] = str(answer.last_seq)
        reader = _Reader(answer, stop_after)
        body = json.dumps({"workspace": self.workspace, **fields})
        req = httpclient.HTTPRequest(
            url + "/v1/generate",
            method="POST",
            body=body,
            headers=headers,
            request_timeout=120.0,
            prepare_curl_callback=reader.prepare,
        )
        try:
            resp = await self._client.fetch(req, raise_error=False)
        except httpclient.HTTPError as exc:
            reader.finish(exc.code)
            return answer
        reader.finish(resp.code)
        return answer

    async def call(
        self, url: str, service: str, operation: str, body: bytes, key: str = ""
    ) -> curl.Answer:
        """Calls an operation of a plain service."""
        headers = self._headers()
        headers["X-Workspace"] = self.workspace
        if key:
            headers["Idempotency-Key"] = key
        return await curl.exchange(
            self._client,
            "POST",
            f"{url}/v1/services/{service}/{operation}",
            30.0,
            body,
            headers,
            at_most_once=True,
        )

    async def cancel(self, url: str, request_id: str) -> int:
        """Cancels a request and returns the HTTP status."""
        answer = await curl.exchange(
            self._client,
            "DELETE",
            f"{url}/v1/requests/{request_id}",
            10.0,
            headers={**self._headers(), "X-Workspace": self.workspace},
        )
        return answer.status

    def _headers(self) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self._token}",
            "Content-Type": "application/json",
            "Expect": "",
        }


class _Reader:
    """Parses server-sent events as they arrive."""

    def __init__(self, answer: Answer, stop_after: int):
        self._answer = answer
        self._stop_after = stop_after
        self._buffer = b""
        self._event_count = 0

    def prepare(self, handle: Any) -> None:
        handle.setopt(handle.WRITEFUNCTION, self._on_data)
        handle.setopt(handle.FRESH_CONNECT, 1)

    def finish(self, status: int) -> None:
        self._answer.status = status
        if self._buffer.startswith(b"{"):
            self._answer.refusal = json.loads(self._buffer)

    def _on_data(self, data: bytes) -> int | None:
        self._buffer += data
        while _EVENT_END in self._buffer:
            event, _, self._buffer = self._buffer.partition(_EVENT_END)
            self._on_event(event.decode())
            if self._stop_after and self._event_count >= self._stop_after:
                return 0
        return None

    def _on_event(self, event: str) -> None:
        fields = dict(line.split(": ", 1) for line in event.split("\n"))
        data = json.loads(fields["data"])
        if fields.get("event") == "error":
            self._answer.refusal = data
            return
        self._event_count += 1
        self._answer.events.append(int(fields["id"]))
        self._answer.times_s.append(asyncio.get_running_loop().time())
        if fields.get("event") == "done":
            self._answer.done = True
        else:
            self._answer.texts.append(data["text"])
