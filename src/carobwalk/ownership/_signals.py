"""What the tasks of a coordinator tell each other."""

from dataclasses import dataclass, field
from math import inf

import trio


@dataclass(slots=True)
class Signals:
    """Events among the tasks of one coordinator.

    Args:
        deposed: Set when a higher epoch was seen.
        wake: Set to decide at once.
    """

    deposed: trio.Event = field(default_factory=trio.Event)
    wake: trio.Event = field(default_factory=trio.Event)


@dataclass(slots=True)
class StoreContact:
    """How a coordinator stands with the store.

    Args:
        autonomous: Whether the servers are asked for autonomy, since the
            store does not answer in time.
        revision: Revision of the group's record as last known.
        verified_at: Start of the last reading that confirmed the epoch.
        recorded_at: When the record was last read or written, so that no
            holder was named after that.
    """

    autonomous: bool = False
    verified_at: float = -inf
    revision: int = 0
    recorded_at: float = -inf
