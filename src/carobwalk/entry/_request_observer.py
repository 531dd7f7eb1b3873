"""Notification of finished requests."""

from dataclasses import dataclass
from typing import Protocol

from carobwalk.model import (
    FailureKind,
    Outcome,
    Rank,
    RequestId,
    ServerId,
    ServiceName,
)


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A classified request that finished.

    Args:
        request: Request id.
        service: Service that was called.
        rank: Priority class under which the request was scheduled.
        outcome: Outcome reported to the caller.
        failure: Kind of failure; ``None`` for a complete response.
        server: Backend server that responded; ``None`` if none did.
        seconds: Time from the end of the request head to the end of the
            response.
        sent_bytes: Size of the request body.
        received_bytes: Size of the response body.
    """

    request: RequestId
    service: ServiceName
    rank: Rank
    outcome: Outcome
    failure: FailureKind | None
    server: ServerId | None
    seconds: float
    sent_bytes: int
    received_bytes: int


class RequestObserver(Protocol):
    """Is notified of finished requests."""

    def observe(self, ended: RequestEnded) -> None:
        """Record one request; must not block."""
