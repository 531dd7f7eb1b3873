"""Running of the requests of one connection, and their responses in order."""

from typing import Final

import h11
import trio

from carobwalk.gateway.caller._caller_exchange import CallerExchange
from carobwalk.gateway.caller._caller_input import CallerInput
from carobwalk.gateway.caller._connection_memory import ConnectionMemory
from carobwalk.gateway.caller._exchange_log import ExchangeLog
from carobwalk.gateway.caller._gateway_service import GatewayService
from carobwalk.gateway.caller._pipeline import Pipeline, Stage
from carobwalk.gateway.caller._request_handler import RequestHandler
from carobwalk.gateway.caller._response_writer import ResponseWriter

DISCONNECT_ERRORS: Final = (
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.LocalProtocolError,
)
CALLER_LEFT: Final = 'the caller left'
CRASHED: Final = 'the connection crashed'
_CLOSED: Final = 'the connection closed after an earlier response'
# Event loop iterations after which a disconnect that preceded the reading of
# the request has been detected. On a busy host, requests are often read after
# their callers have given up.
_DISCONNECT_CHECK_TICKS: Final = 3


class ExchangeRunner:
    """Runs the requests of one connection, each in a task of its own.

    The task that completes the next response to send sends it, and those that
    are ready behind it.

    Args:
        nursery: Runs the tasks.
        service: State shared by all connections of callers.
        pipeline: Requests that have been read.
        memory: Memory of the connection.
        source: Waits for the bytes of the connection.
        writer: Sends responses.

    Attributes:
        read_scope: Scope of the reading of requests, cancelled when the
            connection closes.
        must_linger: Whether input has to be discarded before the connection is
            closed.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        service: GatewayService,
        pipeline: Pipeline[CallerExchange],
        memory: ConnectionMemory,
        source: CallerInput,
        writer: ResponseWriter,
    ) -> None:
        self.read_scope = trio.CancelScope()
        self.must_linger = False
        self._nursery = nursery
        self._service = service
        self._pipeline = pipeline
        self._memory = memory
        self._input = source
        self._writer = writer
        self._log = ExchangeLog(service)
        self._is_writing = False

    async def accept(self, exchange: CallerExchange) -> None:
        """Run a request that was just read, or send its refusal.

        Args:
            exchange: The request, in any stage.
        """
        is_pipelined = self._pipeline.size > 0
        self._pipeline.add(exchange)
        if exchange.stage is Stage.ANSWERED:
            await self._send_responses()
            return
        self._start()
        if is_pipelined:
            self._log.record_pipelined(exchange)

    def end(self, cause: str) -> None:
        """Drop the requests that wait, and cancel those that run.

        The sending of a request that is not idempotent is shielded.

        Args:
            cause: Why the connection ends.
        """
        waiting, running = self._pipeline.end()
        for exchange in running:
            exchange.scope.cancel()
        for dropped in waiting:
            self._log.record_dropped(dropped, cause)
            dropped.release()

    def _abort(self, cause: str) -> None:
        self.end(cause)
        self.read_scope.cancel()

    def _start(self) -> None:
        """Start the requests that may run now."""
        for exchange in self._pipeline.start(self._memory.free_bytes):
            self._nursery.start_soon(self._serve, exchange)

    async def _serve(self, exchange: CallerExchange) -> None:
        try:
            await self._run(exchange)
        except DISCONNECT_ERRORS:
            # The caller disconnected or does not read its responses.
            self._abort(CALLER_LEFT)
        except Exception as error:
            # A bug must end only this connection, not the process.
            self._log.record_crash(error)
            self._abort(CRASHED)

    async def _run(self, exchange: CallerExchange) -> None:
        request = exchange.request
        if request is None:
            return
        handler = RequestHandler(self._service, request)
        with exchange.scope:
            for _ in range(_DISCONNECT_CHECK_TICKS):
                await trio.lowlevel.checkpoint()
            exchange.reply = await handler.run()
        handler.log(exchange.reply)
        if exchange.reply is None:
            exchange.release()
            return
        self._service.answer_sizes.record(
            request.route.name, exchange.answer_bytes
        )
        exchange.drop_request()
        self._pipeline.record_response(exchange)
        self._start()
        await self._send_responses()

    async def _send_responses(self) -> None:
        """Send the responses that are next in order, unless a task does so."""
        if self._is_writing:
            return
        self._is_writing = True
        exchange = self._pipeline.next_response()
        while exchange is not None:
            is_last = self._pipeline.closes_after(exchange)
            stays_open = await self._writer.write(exchange, is_last=is_last)
            exchange.release()
            if not stays_open or self._pipeline.closes_after(exchange):
                # Closing a connection with unread bytes resets it.
                self.must_linger = exchange.is_refused or self._input.has_unread
                self._abort(_CLOSED)
                return
            self._pipeline.remove_first()
            self._record_sent()
            exchange = self._pipeline.next_response()
        self._is_writing = False

    def _record_sent(self) -> None:
        if not self._pipeline.size:
            self._input.begin_idle(self._service.limits().idle_seconds)
        self._input.notify()
        self._start()
