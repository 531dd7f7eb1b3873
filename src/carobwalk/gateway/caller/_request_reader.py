"""Reading and validation of callers' requests."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final

import h11
import trio

from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._header_fields import (
    end_to_end_headers,
    find_header,
    find_number,
)
from carobwalk.gateway.caller._gateway_service import GatewayService
from carobwalk.gateway.caller._request_error import RequestError
from carobwalk.http import AnswerShare, H11Stream, error_detail
from carobwalk.routing import Route

_SECONDS_PER_MILLISECOND: Final = 0.001
# Bytes of each header field on the wire besides its name and value: a colon, a
# space and a line break.
_FIELD_OVERHEAD_BYTES: Final = 4
_MAX_KEY: Final = 65_535
# A process gets its configuration within about this time of its start, if the
# store answers.
_CONFIGURATION_RETRY_SECONDS: Final = 0.5
_CONTINUE: Final = h11.InformationalResponse(status_code=100, headers=[])


class RequestReader:
    """Reads the requests of one connection.

    Args:
        http: HTTP protocol state of the connection.
        service: State shared by all connections.
        caller: IP address of the caller.
    """

    def __init__(
        self,
        http: H11Stream,
        service: GatewayService,
        caller: str,
    ) -> None:
        self._caller = caller
        self._http = http
        self._service = service

    async def read_head(self) -> h11.Request | None:
        """Return the head of a request, ``None`` if the caller disconnected.

        Raises:
            RequestError: If the caller violated HTTP.
        """
        try:
            event = await self._http.receive()
        except h11.RemoteProtocolError as error:
            raise RequestError(
                HTTPStatus(error.error_status_hint),
                error_detail(error),
            ) from error
        return event if isinstance(event, h11.Request) else None

    def request_id(self, head: h11.Request) -> bytes:
        """Return the id of a request, empty if it has none."""
        return find_header(head.headers, self._service.names.request_id) or b''

    async def read_request(
        self,
        head: h11.Request,
        answer_share: AnswerShare,
        admit_body: Callable[[h11.Request], Awaitable[None]],
    ) -> CallerRequest:
        """Read the body and return the complete request.

        Args:
            head: Head of the request.
            answer_share: Memory of the answer.
            admit_body: Waits until the body may be read.

        Raises:
            RequestError: If the head is too large or has two framings of the
                body, if the method is CONNECT, if there is no route, if the
                body is malformed, too long or not received before the
                deadline, or if the process ends before the deadline.
        """
        arrived = self._http.received_at
        self._check_size(head)
        _check_framing(head)
        _check_method(head)
        route = self._find_route(head)
        deadline = arrived + self._seconds_left(head, route)
        body = await self._read_body_until(deadline, head, admit_body)
        if self._service.shutdown.is_too_late(deadline):
            raise RequestError(
                HTTPStatus.SERVICE_UNAVAILABLE, 'shutting down', 0
            )
        names = self._service.names
        key = find_number(head.headers, names.key)
        return CallerRequest(
            id=self.request_id(head),
            caller=self._caller,
            method=head.method,
            target=head.target,
            headers=end_to_end_headers(
                head.headers,
                frozenset((names.time_left, names.expected_server, b'expect')),
            ),
            body=body,
            route=route,
            key=key if key is None or key <= _MAX_KEY else None,
            arrived=arrived,
            deadline=self._service.shutdown.limit(deadline),
            answer_share=answer_share,
        )

    def _check_size(self, head: h11.Request) -> None:
        """Reject a head over the limit.

        The parser applies the limit only while a head is incomplete, so one
        that arrives in a single read passes it.
        """
        if head_size(head) > self._service.limits().header_bytes:
            raise RequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'header fields too large',
            )

    def _find_route(self, head: h11.Request) -> Route:
        table = self._service.routes.table
        if table is None:
            raise RequestError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no configuration yet',
                _CONFIGURATION_RETRY_SECONDS,
            )
        host = find_header(head.headers, b'host') or b''
        route = table.find(
            host.decode('latin-1'),
            head.target.decode('latin-1'),
        )
        if route is None:
            raise RequestError(HTTPStatus.NOT_FOUND, 'no such route')
        return route

    def _seconds_left(self, head: h11.Request, route: Route) -> float:
        milliseconds = find_number(head.headers, self._service.names.time_left)
        if milliseconds is None:
            return route.timeout
        return min(milliseconds * _SECONDS_PER_MILLISECOND, route.timeout)

    async def _read_body_until(
        self,
        deadline: float,
        head: h11.Request,
        admit_body: Callable[[h11.Request], Awaitable[None]],
    ) -> bytes:
        is_admitted = False
        with trio.move_on_at(deadline):
            await admit_body(head)
            is_admitted = True
            return await self._read_body()
        if is_admitted:
            raise RequestError(HTTPStatus.REQUEST_TIMEOUT, 'body too slow')
        raise RequestError(
            HTTPStatus.SERVICE_UNAVAILABLE, 'no time left to read the body', 0
        )

    async def _read_body(self) -> bytes:
        if self._http.protocol.they_are_waiting_for_100_continue:
            await self._http.send(_CONTINUE)
        limit = self._service.limits().body_bytes
        try:
            body = await self._http.read_body(limit)
        except h11.RemoteProtocolError as error:
            raise RequestError(
                HTTPStatus.BAD_REQUEST,
                error_detail(error),
            ) from error
        if body is None:
            raise RequestError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'body longer than {limit} bytes',
            )
        return body


def head_size(head: h11.Request) -> int:
    """Return the size in bytes of the target and the header fields."""
    size = sum(
        len(name) + len(text) + _FIELD_OVERHEAD_BYTES
        for name, text in head.headers
    )
    return size + len(head.target)


def _check_framing(head: h11.Request) -> None:
    """Reject a request with two framings of its body."""
    has_length = find_header(head.headers, b'content-length') is not None
    coding = find_header(head.headers, b'transfer-encoding')
    if has_length and coding is not None:
        raise RequestError(
            HTTPStatus.BAD_REQUEST,
            'a length and a transfer coding',
        )


def _check_method(head: h11.Request) -> None:
    """Reject a request for a tunnel, which no route offers."""
    if head.method == b'CONNECT':
        raise RequestError(
            HTTPStatus.NOT_IMPLEMENTED,
            'CONNECT is not supported',
        )
