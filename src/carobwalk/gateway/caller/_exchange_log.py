"""Log and metrics of the requests of a connection, besides their outcomes."""

import h11
import trio

from carobwalk.gateway._events import (
    ConnectionCrashed,
    RequestAnswered,
    RequestDropped,
)
from carobwalk.gateway._header_fields import find_header
from carobwalk.gateway.caller._caller_exchange import CallerExchange
from carobwalk.gateway.caller._gateway_service import GatewayService
from carobwalk.gateway.caller._pipeline import Stage
from carobwalk.gateway.caller._request_error import RequestError
from carobwalk.gateway.caller._request_meter import PipelinedOutcome


class ExchangeLog:
    """Logs and counts what happens to requests outside of their handlers.

    Args:
        service: State shared by all connections of callers.
    """

    def __init__(self, service: GatewayService) -> None:
        self._service = service

    def record_refusal(
        self,
        error: RequestError,
        head: h11.Request | None,
        started_at: float,
    ) -> None:
        """Record a request that is answered before it is routed.

        Args:
            error: Why it is refused.
            head: Head of the request, ``None`` if it could not be read.
            started_at: Time at which the reading of the request began.
        """
        name = self._service.names.request_id
        request_id = find_header(head.headers, name) if head else None
        seconds = trio.current_time() - started_at
        table = self._service.routes.table
        self._service.meter.record('', 0, error.status, seconds)
        if error.retry_after is not None:
            self._service.meter.record_refusal('', error.detail)
        self._service.events.emit(
            RequestAnswered(
                request=(request_id or b'').decode('latin-1'),
                route='',
                version=table.configuration.version if table else 0,
                service='',
                server='',
                key=None,
                status=error.status,
                sends=0,
                seconds=round(seconds, 4),
                time_left=0,
                cause=error.detail,
            ),
        )

    def record_pipelined(self, exchange: CallerExchange) -> None:
        """Record a request that was read before those ahead were answered.

        Args:
            exchange: The request.
        """
        is_running = exchange.stage is Stage.RUNNING
        self._service.meter.record_pipelined(
            PipelinedOutcome.CONCURRENT
            if is_running
            else PipelinedOutcome.WAITING
        )

    def record_dropped(self, exchange: CallerExchange, cause: str) -> None:
        """Record a request that was read and never started.

        Args:
            exchange: The request.
            cause: Why the connection ended.
        """
        request = exchange.request
        if request is None:
            return
        self._service.meter.record_pipelined(PipelinedOutcome.DROPPED)
        self._service.events.emit(
            RequestDropped(
                request=request.id.decode('latin-1'),
                route=request.route.name,
                cause=cause,
                seconds=round(trio.current_time() - request.arrived, 4),
            ),
        )

    def record_crash(self, error: Exception) -> None:
        """Record an exception that ends the connection.

        Args:
            error: The exception.
        """
        self._service.events.emit(
            ConnectionCrashed(type(error).__name__, str(error)),
        )
