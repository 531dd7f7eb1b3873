"""Result of a request as its caller saw it."""

from dataclasses import dataclass

from carobwalk.model import Rank, ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """A request and its response as the caller saw them.

    Args:
        entry: Entry that the request was sent to.
        service: Service that was called.
        rank: Rank of the request.
        method: HTTP method.
        key: Key of the request.
        mark: Text that is unique to the request.
        idempotency_key: Idempotency key; the same in all retries of an action.
        sent_at: Time when the request was sent, in seconds.
        ended_at: Time when the response was complete or the caller gave up, in
            seconds.
        status: HTTP status; ``None`` without a response.
        outcome: Outcome stated by the response; empty if it states none.
        error: Kind of the failure in the response; empty if there is none.
        request: Request id assigned by the entry.
        server: Backend server that responded.
        is_whole: Whether the response was received completely.
        is_astray: Whether a complete response belongs to another request.
        detail: Why there is no complete response.
    """

    entry: str
    service: ServiceName
    rank: Rank
    method: str
    key: str
    mark: str
    idempotency_key: str | None
    sent_at: float
    ended_at: float
    status: int | None = None
    outcome: str = ''
    error: str = ''
    request: str = ''
    server: str = ''
    is_whole: bool = False
    is_astray: bool = False
    detail: str = ''

    @property
    def told(self) -> str:
        """Reported outcome; ``none`` without a complete response."""
        return self.outcome if self.is_whole and self.outcome else 'none'

    @property
    def seconds(self) -> float:
        """Time that the caller waited, in seconds."""
        return self.ended_at - self.sent_at
