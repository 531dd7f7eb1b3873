"""Head of a request and its classification."""

from dataclasses import dataclass

from carobwalk.model._names import Key, RequestId, ServiceName
from carobwalk.model._rank import Rank

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request with its classification.

    Args:
        request_id: Identifier assigned by the entry process that accepted the
            request.
        service: Service that is called.
        rank: Priority class.
        method: HTTP method.
        target: HTTP request target as the backend server sees it.
        headers: Header fields to forward, names in lower case.
        key: Key of the request; ``None`` if the service is not keyed.
        deadline: Time left in seconds when the head was created or received.
        idempotent: Whether the request can safely run more than once.
        idempotency_key: The caller's identifier of the action, if it gave one.
        caller: Name of the caller, used for fair scheduling among callers of
            one rank.
        body_length: Length in bytes; ``None`` for a chunked body.
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
