"""A whole request of a caller."""

from dataclasses import dataclass

from carobwalk.gateway._reply import HeaderList
from carobwalk.routing import Route


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A whole request of a caller, with the route that it takes.

    Args:
        id: Identity of the caller's attempt; empty if it named none.
        caller: IP number of the caller.
        method: HTTP method.
        target: Path and query as sent.
        headers: Header fields to pass on.
        body: The whole body.
        route: Rule that it matched.
        key: Number of its key, ``None`` if it names none.
        arrived: Time at which its head was read.
        deadline: Time after which nobody waits for the answer.
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
