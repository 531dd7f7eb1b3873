"""What a coordinator knows of one entry."""

from dataclasses import dataclass, field
from math import inf

import trio

from carobwalk.model import Endpoint, ProcessId, ServerId


@dataclass(slots=True, kw_only=True)
class EntryLink:
    """State of one entry; readings are of the coordinator's clock.

    Args:
        endpoint: Where the entry is.
        revision: Revision of the map that it holds in this epoch.
        echo: Reading of the entry's clock in its last answer.
        answered_at: When that answer came.
        sequence: Sequence of the last push, rising over all entries.
        applied: Sequence of the last push that was answered.
        lapse_at: When all its leases are over.
        leases: Servers that it dispatched to in its last answer.
        leaving: Whether it is about to stop.
        wake: Set to push at once.
    """

    endpoint: Endpoint
    revision: int = 0
    echo: float = 0
    answered_at: float = -inf
    sequence: int = 0
    applied: int = 0
    lapse_at: float = -inf
    leases: frozenset[ServerId] = frozenset()
    leaving: bool = False
    wake: trio.Event = field(default_factory=trio.Event)

    @property
    def process(self) -> ProcessId:
        """Return the entry's process id."""
        return ProcessId(self.endpoint.name)
