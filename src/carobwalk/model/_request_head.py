"""What is known of a request before its body."""

from dataclasses import dataclass

from carobwalk.model._names import Key, RequestId, ServiceName
from carobwalk.model._rank import Rank

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A classified request.

    Args:
        request_id: Identity given by the entry that accepted the request.
        service: Service that is called.
        rank: Urgency class.
        method: HTTP method.
        target: HTTP request target as the backend server sees it.
        headers: Header fields that are passed on, names in lower case.
        key: Key of the request; ``None`` where the service has no owners.
        deadline: Remaining time in seconds when the head was made or received.
        idempotent: Whether running the request twice is harmless.
        idempotency_key: The caller's own name for the action, if it gave one.
        caller: Name of the caller, for fairness among callers of one rank.
        body_length: Length in bytes, ``None`` for a chunked body.
    """

    request_id: RequestId
    service: ServiceName
    rank: Rank
    method: str
    target: str
    headers: Headers
    key: Key | None
    deadline: float
    idempotent: bool
    idempotency_key: str | None
    caller: str
    body_length: int | None
