"""Reading of the requests of one connection, also ahead of responses."""

from http import HTTPStatus

import h11
import trio

from carobwalk.gateway._header_fields import find_header
from carobwalk.gateway.caller._caller_exchange import CallerExchange
from carobwalk.gateway.caller._caller_input import CallerInput
from carobwalk.gateway.caller._connection_memory import (
    ConnectionMemory,
    MessageShare,
)
from carobwalk.gateway.caller._exchange_log import ExchangeLog
from carobwalk.gateway.caller._gateway_service import GatewayService
from carobwalk.gateway.caller._pipeline import Pipeline
from carobwalk.gateway.caller._request_error import RequestError
from carobwalk.gateway.caller._request_reader import RequestReader, head_size
from carobwalk.http import H11Stream


class ExchangeReader:
    """Reads the requests of one connection as far as its limits allow.

    Args:
        http: HTTP protocol state of the connection.
        service: State shared by all connections.
        source: Waits for the bytes of the connection.
        memory: Memory of the connection.
        pipeline: Requests that have been read.
    """

    def __init__(
        self,
        http: H11Stream,
        service: GatewayService,
        source: CallerInput,
        memory: ConnectionMemory,
        pipeline: Pipeline[CallerExchange],
    ) -> None:
        self._http = http
        self._service = service
        self._input = source
        self._memory = memory
        self._pipeline = pipeline
        self._requests = RequestReader(http, service, source.caller)
        self._log = ExchangeLog(service)
        self._last: CallerExchange | None = None
        self._request_share: MessageShare | None = None

    async def wait(self) -> bool:
        """Wait until a request may be read and its first bytes are there.

        Returns:
            Whether there is one, not the end of the connection.
        """
        while True:
            idle_seconds = None
            if not self._pipeline.size:
                idle_seconds = self._service.limits().idle_seconds
            if not await self._input.wait_for_bytes(idle_seconds):
                return False
            if self._pipeline.may_read:
                return True
            if not await self._input.wait_for_change():
                return False

    async def read(self) -> CallerExchange | None:
        """Read a request.

        Returns:
            The request or its refusal, ``None`` if the caller disconnected.
        """
        if self._http.start_next_message() and self._last is not None:
            self._last.protocol = None
        started_at = trio.current_time()
        head = None
        self._request_share = None
        answer_share = self._memory.share()
        try:
            head = await self._read_head()
            if head is None:
                return None
            request = await self._requests.read_request(
                head, answer_share, self._admit_body
            )
        except RequestError as error:
            self._release_request()
            if self._http.is_ended and self._pipeline.size:
                return None
            self._log.record_refusal(error, head, started_at)
            method = head.method if head else b''
            return CallerExchange(
                self._http.protocol, method, reply=error.reply()
            )
        exchange = CallerExchange(
            self._http.protocol,
            request.method,
            request,
            expected_bytes=self._service.answer_sizes.expected(
                request.route.name
            ),
        )
        exchange.answer_share = answer_share
        exchange.request_share = self._request_share
        self._last = exchange
        return exchange

    async def _read_head(self) -> h11.Request | None:
        seconds = self._service.limits().header_seconds
        head_scope = trio.CancelScope(deadline=trio.current_time() + seconds)
        head = None
        with head_scope:
            head = await self._requests.read_head()
        if head_scope.cancelled_caught:
            raise RequestError(HTTPStatus.REQUEST_TIMEOUT, 'head too slow')
        return head

    async def _admit_body(self, head: h11.Request) -> None:
        """Wait until the body of a request may be read.

        Before the requests ahead are answered, only a body is read whose whole
        memory could be reserved. The interim response that a caller may wait
        for has to follow the responses ahead.
        """
        if not self._pipeline.size:
            return
        length = _body_length(head)
        is_waiting = self._http.protocol.they_are_waiting_for_100_continue
        if length is not None and not is_waiting:
            share = self._memory.share()
            if share.grow_to(head_size(head) + length):
                self._request_share = share
                return
        while self._pipeline.size:
            if not await self._input.wait_for_change():
                raise trio.BrokenResourceError('the caller left')

    def _release_request(self) -> None:
        if self._request_share is not None:
            self._request_share.release()
            self._request_share = None


def _body_length(head: h11.Request) -> int | None:
    """Return the size of a body in bytes, ``None`` if it is unknown."""
    if find_header(head.headers, b'transfer-encoding') is not None:
        return None
    return int(find_header(head.headers, b'content-length') or 0)
