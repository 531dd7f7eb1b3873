"""Conversion of unexpected exceptions to failures of single requests."""

from dataclasses import dataclass
from typing import ClassVar

from result import Err, Result

from carobwalk.events import Event, EventLog
from carobwalk.model import (
    Call,
    CallerGoneError,
    Completion,
    Failure,
    FailureKind,
    Forwarder,
    Outcome,
    Placement,
    ReplySink,
)


@dataclass(frozen=True, slots=True)
class RequestCrashed(Event):
    """An unexpected exception ended a request.

    Args:
        request: Request ID.
        service: Service that was called.
        server: Backend server of the placement.
        error: Class name of the exception.
        detail: Message of the exception.
    """

    level: ClassVar[str] = 'error'

    request: str
    service: str
    server: str
    error: str
    detail: str


class GuardedForwarder:
    """Logs unexpected exceptions of a forwarder and returns failures.

    An uncaught exception would cancel all requests in the same nursery.

    Args:
        inner: Forwarder that runs the requests.
        events: Event log.
    """

    def __init__(self, inner: Forwarder, events: EventLog) -> None:
        self._inner = inner
        self._events = events

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Forward the request; see ``Forwarder``."""
        try:
            return await self._inner.forward(call, placement, sink)
        except CallerGoneError:
            raise
        except Exception as error:
            return Err(self._report(call, placement, error))

    def _report(
        self,
        call: Call,
        placement: Placement,
        error: Exception,
    ) -> Failure:
        kind = type(error).__name__
        self._events.emit(
            RequestCrashed(
                request=call.head.request_id,
                service=call.head.service,
                server=placement.server.name,
                error=kind,
                detail=str(error),
            ),
        )
        is_sent = call.progress.is_sent
        return Failure(
            kind=FailureKind.INTERNAL,
            outcome=Outcome.UNKNOWN if is_sent else Outcome.NOT_RUN,
            detail=f'internal error {kind}',
        )
