"""Coordinator's state of one entry."""

from dataclasses import dataclass, field
from math import inf

import trio

from carobwalk.model import Endpoint, ProcessId, ServerId


@dataclass(slots=True, kw_only=True)
class EntryLink:
    """State of one entry; times are on the coordinator's clock.

    Args:
        endpoint: Name, address and location of the entry.
        revision: Revision of the shard map that it acknowledged in this epoch.
        echo: Reading of the entry's clock in its last answer.
        answered_at: Time of that answer.
        sequence: Sequence of the last push; increases across all entries.
        applied: Sequence of the last push that was answered.
        expires_at: Time at which all its leases have expired.
        leases: Servers that it dispatched to in its last answer.
        leaving: Whether it is shutting down.
        wake: Set to push without waiting for the interval.
    """

    endpoint: Endpoint
    revision: int = 0
    echo: float = 0
    answered_at: float = -inf
    sequence: int = 0
    applied: int = 0
    expires_at: float = -inf
    leases: frozenset[ServerId] = frozenset()
    leaving: bool = False
    wake: trio.Event = field(default_factory=trio.Event)

    @property
    def process(self) -> ProcessId:
        """Return the entry's process id."""
        return ProcessId(self.endpoint.name)
