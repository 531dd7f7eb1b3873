"""Request that waits for capacity."""

from dataclasses import dataclass, field

import trio

from carobwalk.gateway._caller_request import CallerRequest


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
        woken: Set when the request is to check for capacity.
    """

    rank: int
    caller: str
    route: str
    deadline: float
    on_time_until: float
    woken: trio.Event = field(default_factory=trio.Event)

    @classmethod
    def of(cls, request: CallerRequest, latency: float) -> 'Waiter':
        """Return the entry of a request.

        Args:
            request: The request.
            latency: Expected latency in seconds once the request is sent.
        """
        target_at = request.arrived + request.route.target_latency
        return cls(
            rank=request.route.rank,
            caller=request.caller,
            route=request.route.name,
            deadline=request.deadline,
            on_time_until=target_at - latency,
        )
