"""State shared by the tasks of a coordinator."""

from dataclasses import dataclass, field
from math import inf

import trio


@dataclass(slots=True)
class Signals:
    """Trio events shared by the tasks of one coordinator.

    Args:
        deposed: Set when a higher epoch was seen.
        wake: Set to wake the decision loop.
    """

    deposed: trio.Event = field(default_factory=trio.Event)
    wake: trio.Event = field(default_factory=trio.Event)


@dataclass(slots=True)
class StoreStatus:
    """Coordinator's view of the store.

    Args:
        autonomous: Whether the coordinator asks the servers for autonomy,
            because the store does not answer in time.
        revision: Revision of the group's record as last known.
        verified_at: Start of the last read that confirmed the epoch.
        recorded_at: Time of the election or the last confirmed write; the
            record named its holders no later than that.
    """

    autonomous: bool = False
    verified_at: float = -inf
    revision: int = 0
    recorded_at: float = -inf
