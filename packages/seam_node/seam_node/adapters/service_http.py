"""Client of plain services over HTTP."""

import urllib.parse

import expression

from seam_model import endpoint_errors
from seam_model import endpoints
from seam_model import requests
from seam_node.adapters import curl
from seam_node.ports import service

DEFAULT_CONTENT_TYPE = "application/octet-stream"


class HttpService(service.Service):
    """Calls services over HTTP and returns their status and body."""

    def __init__(self) -> None:
        """Creates the curl client."""
        self._client = curl.make_client()

    async def call(
        self, record: endpoints.EndpointRecord, order: endpoints.ServiceOrder
    ) -> expression.Result[
        requests.ServiceReply, endpoint_errors.EndpointError
    ]:
        """Sends one call and waits for its reply."""
        path = "/v1/{}/{}".format(
            urllib.parse.quote(order.service, safe=""),
            urllib.parse.quote(order.operation, safe=""),
        )
        headers = {
            "Content-Type": "application/json",
            "Expect": "",
            "X-Workspace": order.workspace,
        }
        if order.key:
            headers["Idempotency-Key"] = order.key
        answer = await curl.exchange(
            self._client,
            "POST",
            urllib.parse.urljoin(record.url, path),
            order.timeout_s,
            order.body,
            headers,
            at_most_once=bool(order.key),
        )
        if answer.status == 0 and not answer.maybe_sent:
            return expression.Error(
                endpoint_errors.EndpointUnreachable(record.name)
            )
        if answer.status == 0:
            return expression.Error(endpoint_errors.EndpointLost(record.name))
        content_type = answer.content_type or DEFAULT_CONTENT_TYPE
        return expression.Ok(
            requests.ServiceReply(answer.status, content_type, answer.body)
        )

    async def close(self) -> None:
        """Closes every connection."""
        self._client.close()
