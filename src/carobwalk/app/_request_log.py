"""Metrics and events of finished requests."""

from dataclasses import dataclass

from carobwalk.entry import RequestEnded
from carobwalk.events import Event, EventLog
from carobwalk.metrics import Metrics
from carobwalk.model import Outcome, Rank


@dataclass(frozen=True, slots=True)
class RequestFinished(Event):
    """A request ended with unknown outcome, or a money-bearing action ran.

    Args:
        request: Request ID.
        service: Service that was called.
        rank: Rank of the request.
        outcome: Outcome that was reported to the caller.
        failure: Kind of failure; empty for a complete answer.
        server: Backend server that answered; empty if none did.
        seconds: Time until the end of the answer.
    """

    request: str
    service: str
    rank: str
    outcome: str
    failure: str
    server: str
    seconds: float


class RequestLog:
    """Records metrics of each request, and logs a part of the requests.

    Complete lookups and bulk uploads, and requests that did not run, are not
    logged: a line for each refusal would make load shedding expensive.

    Args:
        events: Event log.
        metrics: Metrics of the process.
    """

    def __init__(self, events: EventLog, metrics: Metrics) -> None:
        self._events = events
        self._metrics = metrics

    def observe(self, ended: RequestEnded) -> None:
        """Record metrics of a request, and log it depending on its outcome."""
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
