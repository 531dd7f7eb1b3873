"""Orders to backend servers over HTTP."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import msgspec
from result import Err, Ok, Result

from carobwalk.http import ConnectFailed, HttpRequest, HttpSender
from carobwalk.model import DECODE_ERRORS, Endpoint
from carobwalk.ownership._grant_channel import GrantFailure
from carobwalk.ownership._server_messages import (
    FenceOrder,
    GrantOrder,
    GrantReport,
    ReleaseOrder,
    ServerOrder,
)

CONTROL_PATHS: Final[Mapping[type[ServerOrder], str]] = MappingProxyType(
    {
        GrantOrder: '/_control/grant',
        FenceOrder: '/_control/fence',
        ReleaseOrder: '/_control/release',
    }
)
_STATUS_OK: Final = 200


class HttpGrantChannel:
    """Sends each order as a ``POST`` request with a JSON body.

    Args:
        sender: HTTP client for small requests.
    """

    def __init__(self, sender: HttpSender) -> None:
        self._sender = sender

    async def send(
        self,
        server: Endpoint,
        order: ServerOrder,
        timeout: float,
    ) -> Result[GrantReport, GrantFailure]:
        """Send an order and wait for the report; see ``GrantChannel``."""
        request = HttpRequest(
            method='POST',
            path=CONTROL_PATHS[type(order)],
            headers={'content-type': 'application/json'},
            body=msgspec.json.encode(order),
        )
        answer = await self._sender.send(server.address, request, timeout)
        if isinstance(answer, Err):
            failure = answer.err_value
            refused = isinstance(failure, ConnectFailed)
            return Err(GrantFailure(refused=refused, detail=failure.detail))
        response = answer.ok_value
        if response.status != _STATUS_OK:
            detail = f'status {response.status}'
            return Err(GrantFailure(refused=False, detail=detail))
        return _decode(response.body)


def _decode(body: bytes) -> Result[GrantReport, GrantFailure]:
    try:
        return Ok(msgspec.json.decode(body, type=GrantReport))
    except DECODE_ERRORS as error:
        return Err(GrantFailure(refused=False, detail=str(error)))
