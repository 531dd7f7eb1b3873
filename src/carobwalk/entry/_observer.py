"""What the rest of the process learns of ended requests."""

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
    """A classified request that ended.

    Args:
        request: Identity of the request.
        service: Service that was called.
        rank: Urgency class.
        outcome: What the caller was told.
        failure: Kind of failure; ``None`` for a complete answer.
        server: Backend server that answered; ``None`` if none did.
        seconds: Time from the end of the head to the end of the answer.
        sent_bytes: Body bytes of the request.
        received_bytes: Body bytes of the answer.
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
    """Takes note of ended requests."""

    def observe(self, ended: RequestEnded) -> None:
        """Take note of one request; must not wait."""
