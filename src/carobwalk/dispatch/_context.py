"""Dependencies that all dispatchers of a process share."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from time import time

from carobwalk.events import EventLog
from carobwalk.model import Clock
from carobwalk.ownership import Leases
from carobwalk.profiles import Catalogue

CurrentCatalogue = Callable[[], Catalogue]

Broadcast = Callable[[bytes], Awaitable[None]]

_DEFAULT_CACHE_BYTES = 16_777_216


async def _no_broadcast(snapshot: bytes) -> None:
    """Do nothing: the default without other entries."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchContext:
    """Dependencies of a dispatcher.

    Args:
        leases: Authorises sends under the current leases and grants.
        catalogue: Returns the catalogue of profiles in force.
        clock: Clock of deadlines.
        events: Event log.
        wall_clock: Returns seconds since 1970, for comparison with the
            timestamps in idempotency keys.
        random: Source of the retry jitter.
        broadcast: Sends a snapshot of the quarantine to the other entries;
            awaited before the loss of a server is reported to the caller.
        cache_bytes: Maximum size of the idempotency cache of one dispatcher.
    """

    leases: Leases
    catalogue: CurrentCatalogue
    clock: Clock
    events: EventLog
    wall_clock: Callable[[], float] = time
    random: Random = field(default_factory=Random)
    broadcast: Broadcast = _no_broadcast
    cache_bytes: int = _DEFAULT_CACHE_BYTES
