"""Faults of the way between a coordinator and a backend server."""

from dataclasses import dataclass


@dataclass(slots=True)
class OrderFaults:
    """Faults of the orders to one backend server; all times in seconds.

    Args:
        opens_no_connections: Whether new connections do not open within the
            order's timeout, so that no part of an order is sent.
        order_delay: Time that an order takes to arrive.
        loses_answers: Whether orders are applied and their answers lost.
        repeat_delay: Time after which an unanswered grant is applied a second
            time; ``None`` for never.
        release_delay: Time after which a release that goes unanswered is
            applied; ``None`` to apply releases at once.
        work_seconds: Time until the work on released keys has ended and the
            release is answered.
    """

    opens_no_connections: bool = False
    order_delay: float = 0
    loses_answers: bool = False
    repeat_delay: float | None = None
    release_delay: float | None = None
    work_seconds: float = 0
