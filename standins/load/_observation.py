"""What a caller saw of its request."""

from dataclasses import dataclass

from carobwalk.model import Rank, ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """What a caller sent and what came back.

    Args:
        entry: Entry that the request was sent to.
        service: Service that it called.
        rank: Rank of the work.
        method: HTTP method.
        key: Key of the request.
        mark: Text that is unique to the request.
        idempotency_key: Name of the action; the same in its repeats.
        sent_at: Time when the request was due, in seconds.
        ended_at: Time when the caller had its answer or gave up, in seconds.
        status: HTTP status; ``None`` if none came.
        outcome: What the answer says of the run; empty if it does not.
        error: Kind of the failure in the answer; empty if there is none.
        request: Identity that the entry gave to the request.
        server: Backend server that answered.
        is_whole: Whether the answer came to its end.
        is_astray: Whether a complete answer belongs to another request.
        detail: Why no answer came.
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
        """Outcome that the caller was told; ``none`` without an answer."""
        return self.outcome if self.is_whole and self.outcome else 'none'

    @property
    def seconds(self) -> float:
        """Time that the caller waited."""
        return self.ended_at - self.sent_at
