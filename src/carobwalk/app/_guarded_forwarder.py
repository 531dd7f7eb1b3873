"""Containment of faults of the program to the request that meets them."""

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
    """A fault of the program, such as a broken invariant, ended a request.

    Args:
        request: Identity of the request.
        service: Service called.
        server: Backend server.
        error: Type of the exception.
        detail: Its text.
    """

    level: ClassVar[str] = 'error'

    request: str
    service: str
    server: str
    error: str
    detail: str


class GuardedForwarder:
    """Turns exceptions of a forwarder into failures, and logs them.

    Without it one request's exception would cancel all that share its
    nursery.

    Args:
        inner: Runs the requests.
        events: Log of events.
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
        """Run the request; see ``Forwarder``."""
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
