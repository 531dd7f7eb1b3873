"""Waiting requests and the order in which they are served."""

from carobwalk.gateway.choice._fair_order import FairOrder
from carobwalk.gateway.choice._waiter import Waiter

LATER = 1000.0


def make_waiter(
    caller: str = 'a',
    rank: int = 0,
    route: str = 'r',
    deadline: float = LATER,
    on_time_until: float = LATER,
) -> Waiter:
    """Return the queue entry of a request."""
    return Waiter(
        rank=rank,
        caller=caller,
        route=route,
        deadline=deadline,
        on_time_until=on_time_until,
    )


def serve(order: FairOrder, count: int, now: float = 0) -> list[Waiter]:
    """Remove and return the next requests."""
    served = [order.pop(now) for _ in range(count)]
    return [waiter for waiter in served if waiter is not None]
