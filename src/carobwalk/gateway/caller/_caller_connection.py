"""Connection from a caller."""

import h11
import trio

from carobwalk.gateway.caller._caller_exchange import CallerExchange
from carobwalk.gateway.caller._caller_input import CallerInput
from carobwalk.gateway.caller._connection_memory import ConnectionMemory
from carobwalk.gateway.caller._exchange_log import ExchangeLog
from carobwalk.gateway.caller._exchange_reader import ExchangeReader
from carobwalk.gateway.caller._exchange_runner import (
    CALLER_LEFT,
    CRASHED,
    DISCONNECT_ERRORS,
    ExchangeRunner,
)
from carobwalk.gateway.caller._gateway_service import GatewayService
from carobwalk.gateway.caller._pipeline import Pipeline
from carobwalk.gateway.caller._response_writer import ResponseWriter
from carobwalk.http import H11Stream


class CallerConnection:
    """Serves the requests of one connection.

    One task reads requests, as far ahead as the pipeline and the memory allow.
    Each request has a task that runs it.

    Args:
        stream: Stream to the caller; closed when ``run`` returns.
        service: State shared by all connections of callers.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        service: GatewayService,
    ) -> None:
        self._service = service
        self._stream = stream
        http = H11Stream(stream, h11.SERVER, service.limits().header_bytes)
        self._input = CallerInput(stream, http)
        self._memory = ConnectionMemory(service.answer_memory)
        self._pipeline = Pipeline[CallerExchange](service.is_stopping)
        self._reader = ExchangeReader(
            http, service, self._input, self._memory, self._pipeline
        )
        self._writer = ResponseWriter(stream)

    @property
    def idle_scope(self) -> trio.CancelScope:
        """Scope of the wait for the next request."""
        return self._input.idle_scope

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            await self._serve()
        except DISCONNECT_ERRORS:
            return  # The caller disconnected while its input was discarded.
        finally:
            self._memory.release()
            await trio.aclose_forcefully(self._stream)

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            runner = ExchangeRunner(
                nursery,
                self._service,
                self._pipeline,
                self._memory,
                self._input,
                self._writer,
            )
            with runner.read_scope:
                runner.end(await self._read(runner))
        if runner.must_linger:
            await self._writer.linger()

    async def _read(self, runner: ExchangeRunner) -> str:
        """Read requests until there are no more and return why."""
        try:
            await self._read_requests(runner)
        except DISCONNECT_ERRORS:
            return CALLER_LEFT
        except Exception as error:
            ExchangeLog(self._service).record_crash(error)
            return CRASHED
        return CALLER_LEFT

    async def _read_requests(self, runner: ExchangeRunner) -> None:
        while await self._reader.wait():
            exchange = await self._reader.read()
            if exchange is None:
                return
            await runner.accept(exchange)
