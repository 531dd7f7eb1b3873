"""Events of ended requests."""

from dataclasses import dataclass

from carobwalk.entry import RequestEnded
from carobwalk.events import Event, EventLog
from carobwalk.metrics import Metrics
from carobwalk.model import Outcome, Rank


@dataclass(frozen=True, slots=True)
class RequestFinished(Event):
    """A request whose outcome is unknown, or a money-bearing action that ran.

    Args:
        request: Identity of the request.
        service: Service that was called.
        rank: Urgency class.
        outcome: What the caller was told.
        failure: Kind of failure; empty for a complete answer.
        server: Backend server that answered; empty if none did.
        seconds: Time to the end of the answer.
    """

    request: str
    service: str
    rank: str
    outcome: str
    failure: str
    server: str
    seconds: float


class RequestLog:
    """Counts each request, and writes an event for those worth one.

    Complete lookups and uploads, and requests that did not run, are only
    counted: a line for each refusal would make a flood costly to refuse.

    Args:
        events: Log of events.
        metrics: Counts and times of the process.
    """

    def __init__(self, events: EventLog, metrics: Metrics) -> None:
        self._events = events
        self._metrics = metrics

    def observe(self, ended: RequestEnded) -> None:
        """Count one request, and write its event if it is worth one."""
        self._metrics.record_request(
            ended.service,
            ended.rank,
            ended.outcome,
            ended.seconds,
        )
        if ended.outcome is Outcome.NOT_RUN:
            return
        is_complete = ended.outcome is Outcome.COMPLETE
        if is_complete and ended.rank is not Rank.MONEY:
            return
        self._events.emit(
            RequestFinished(
                request=ended.request,
                service=ended.service,
                rank=ended.rank,
                outcome=ended.outcome,
                failure=ended.failure or '',
                server=ended.server or '',
                seconds=ended.seconds,
            ),
        )
