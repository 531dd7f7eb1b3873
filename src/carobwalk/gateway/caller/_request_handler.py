"""Routing, forwarding and logging of one request."""

from http import HTTPStatus

import trio

from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._events import CallerLeft, RequestAnswered
from carobwalk.gateway._reply import Reply
from carobwalk.gateway.caller._gateway_service import GatewayService
from carobwalk.gateway.upstream._progress import Progress


class RequestHandler:
    """Handles one request and logs its end.

    Args:
        service: State shared by all connections.
        request: The request.
    """

    def __init__(
        self,
        service: GatewayService,
        request: CallerRequest,
    ) -> None:
        self._service = service
        self._request = request
        table = service.routes.table
        self._version = table.configuration.version if table else 0
        name = service.routes.split.choose(request.route)
        services = table.configuration.services_by_name if table else {}
        routed = services.get(name)
        self._progress = Progress(
            name,
            is_keyed=routed is not None and routed.is_keyed,
        )

    async def run(self) -> Reply:
        """Forward the request and return its answer or a refusal."""
        request = self._request
        if self._progress.is_keyed and request.key is not None:
            self._service.count_key(self._progress.service, request.key)
        return await self._service.forwarder.run(request, self._progress)

    def log(self, reply: Reply | None) -> None:
        """Log the end of the request and record its metrics.

        Args:
            reply: The answer, ``None`` if the caller disconnected first.
        """
        request = self._request
        progress = self._progress
        seconds = trio.current_time() - request.arrived
        self._service.meter.record(
            progress.service,
            request.route.rank,
            reply.status if reply else 0,
            seconds,
        )
        request_id = request.id.decode('latin-1')
        if reply is None:
            self._service.events.emit(
                CallerLeft(
                    request_id,
                    progress.last_server,
                    progress.sends,
                    round(seconds, 4),
                ),
            )
            return
        if reply.status == HTTPStatus.SERVICE_UNAVAILABLE and reply.cause:
            self._service.meter.record_refusal(
                progress.service, reply.cause, request.route.rank
            )
        self._service.events.emit(
            RequestAnswered(
                request=request_id,
                route=request.route.name,
                version=self._version,
                service=progress.service,
                server=progress.last_server,
                key=request.key,
                status=reply.status,
                sends=progress.sends,
                seconds=round(seconds, 4),
                time_left=round(request.deadline - trio.current_time(), 4),
                cause=reply.cause or None,
            ),
        )
