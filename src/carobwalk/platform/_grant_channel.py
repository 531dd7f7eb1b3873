"""Grants and releases of keys, sent to backend servers over HTTP."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

import msgspec
from result import Err, Ok, Result

from carobwalk.directory import BackendServer
from carobwalk.http import (
    ConnectFailed,
    HttpRequest,
    HttpResponse,
    HttpSender,
)
from carobwalk.keyspace import (
    Grant,
    KeyTimes,
    OrderFailure,
    OrderMisdirected,
    OrderRefused,
    OrderUnanswered,
    OrderUnsent,
    Release,
)

_EXPECTED_SERVER_HEADER: Final = 'target-instance'
_HANDOVER_HEADER: Final = 'handover'


class PlatformGrantChannel:
    """Sends grants and releases; implements ``OrderChannel``.

    Args:
        sender: HTTP client. It must reset a connection on a timeout, so that
            a delayed order is discarded and cannot arrive later.
        times: Timeouts of grants and releases.
    """

    def __init__(self, sender: HttpSender, times: KeyTimes) -> None:
        self._sender = sender
        self._times = times

    async def grant(
        self,
        server: BackendServer,
        order: Grant,
    ) -> Result[None, OrderFailure]:
        """Send a grant and wait for the answer.

        Args:
            server: Backend server that is to own the keys.
            order: Key range, fencing token and duration of the grant.
        """
        body: dict[str, float | int | str] = {
            'from': order.first,
            'to': order.last,
            'fence': order.fence,
            'hold_s': order.hold,
        }
        if order.handover:
            body['handover'] = order.handover
        answered = await self._call(
            server,
            '/grant',
            body,
            self._times.order_timeout,
            may_send=order.may_send,
        )
        return answered.map(lambda _: None)

    async def release(
        self,
        server: BackendServer,
        order: Release,
    ) -> Result[str, OrderFailure]:
        """Send a release and wait until work on the keys has ended.

        Args:
            server: Backend server that owns the keys.
            order: Key range and fencing token of the release.

        Returns:
            State to hand over to the next owner, empty for none.
        """
        answered = await self._call(
            server,
            '/release',
            {'from': order.first, 'to': order.last, 'fence': order.fence},
            self._times.release_timeout,
            answer_field=_HANDOVER_HEADER,
            may_send=order.may_send,
        )
        return answered.map(
            lambda response: response.headers.get(_HANDOVER_HEADER, ''),
        )

    async def _call(
        self,
        server: BackendServer,
        path: str,
        body: dict[str, float | int | str],
        timeout: float,
        *,
        may_send: Callable[[], bool],
        answer_field: str = '',
    ) -> Result[HttpResponse, OrderFailure]:
        sent = await self._sender.send(
            server.address,
            HttpRequest(
                method='POST',
                path=path,
                headers={
                    'content-type': 'application/json',
                    _EXPECTED_SERVER_HEADER: server.id,
                },
                body=msgspec.json.encode(body),
                answer_field=answer_field,
                is_reused_after_failure=False,
                may_send=may_send,
            ),
            timeout,
        )
        if isinstance(sent, Err):
            return Err(_order_failure(sent.err_value))
        response = sent.ok_value
        match response.status:
            case HTTPStatus.OK:
                return Ok(response)
            case HTTPStatus.CONFLICT | HTTPStatus.BAD_REQUEST:
                return Err(OrderRefused(f'status {response.status}'))
            case HTTPStatus.MISDIRECTED_REQUEST if response.is_first:
                detail = 'another server listens at the address'
                return Err(OrderMisdirected(detail))
        return Err(OrderUnanswered(f'status {response.status}'))


def _order_failure(failure: object) -> OrderFailure:
    if isinstance(failure, ConnectFailed):
        return OrderUnsent(failure.detail, is_refused=failure.is_refused)
    return OrderUnanswered(str(getattr(failure, 'detail', failure)))
