"""Request of a caller, read completely."""

import random
from dataclasses import dataclass, field

from carobwalk.gateway._reply import HeaderList
from carobwalk.http import AnswerShare
from carobwalk.routing import Route


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Request of a caller, read completely and matched to a route.

    Args:
        id: Id of the caller's attempt, empty if the request carries none.
        caller: IP address of the caller.
        method: HTTP method.
        target: Path and query as received.
        headers: End-to-end header fields to forward.
        body: Complete body.
        route: Route that the request matched.
        key: Number of the key, ``None`` if the request has no valid one.
        arrived: Time at which the head was read, on the event loop's clock.
        deadline: Time after which the caller no longer waits for the answer,
            on the same clock.
        answer_share: Memory of the answer.
        draw: Random number from 0 to 1 by which all attempts of the request
            are drawn for cold servers.
    """

    id: bytes
    caller: str
    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    route: Route
    key: int | None
    arrived: float
    deadline: float
    answer_share: AnswerShare
    draw: float = field(default_factory=random.random)
