"""Request that waits for capacity."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from carobwalk.directory import BackendServer
from carobwalk.gateway._caller_request import CallerRequest

Accepts = Callable[[BackendServer], bool]


def accept_any(server: BackendServer) -> bool:
    """Return that a request may be sent to a server."""
    return True


@dataclass(slots=True, eq=False, kw_only=True)
class Waiter:
    """Queue entry of a request that waits for capacity.

    Args:
        rank: Rank of the request, 0 being the most urgent.
        caller: IP address of the caller.
        route: Name of the route.
        deadline: Deadline of the request on the event loop's clock.
        on_time_until: Time until which it has to be sent so that the response
            is likely to meet the target latency.
        accepts: Returns whether the request may be sent to a server.
        woken: Set when the request is to check for capacity.
        woken_for: Server with the capacity that it was woken for, ``None`` if
            that isn't known.
    """

    rank: int
    caller: str
    route: str
    deadline: float
    on_time_until: float
    accepts: Accepts = accept_any
    woken: trio.Event = field(default_factory=trio.Event)
    woken_for: BackendServer | None = None

    @classmethod
    def of(
        cls,
        request: CallerRequest,
        latency: float,
        accepts: Accepts = accept_any,
    ) -> 'Waiter':
        """Return the entry of a request.

        Args:
            request: The request.
            latency: Expected latency in seconds once the request is sent.
            accepts: Returns whether the request may be sent to a server.
        """
        target_at = request.arrived + request.route.target_latency
        return cls(
            rank=request.route.rank,
            caller=request.caller,
            route=request.route.name,
            deadline=request.deadline,
            on_time_until=target_at - latency,
            accepts=accepts,
        )
