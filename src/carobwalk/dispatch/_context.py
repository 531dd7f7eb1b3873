"""What all dispatchers of a process share."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from time import time

from carobwalk.events import EventLog
from carobwalk.model import Clock
from carobwalk.ownership import Leases
from carobwalk.profiles import Catalogue

CurrentCatalogue = Callable[[], Catalogue]

Spread = Callable[[bytes], Awaitable[None]]

_MEMORY_BYTES = 16_777_216


async def _keep(snapshot: bytes) -> None:
    """Tell nobody, where there is no other entry."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchContext:
    """Collaborators of a dispatcher.

    Args:
        leases: Says what may be sent now.
        catalogue: Returns the profiles in force.
        clock: Clock of deadlines.
        events: Log of events.
        wall_clock: Returns seconds since 1970, to compare with issue times.
        random: Source of the jitter of retries.
        spread: Tells the other entries what is in quarantine; awaited before
            the caller hears of a loss.
        memory_bytes: Most bytes of remembered actions of one dispatcher.
    """

    leases: Leases
    catalogue: CurrentCatalogue
    clock: Clock
    events: EventLog
    wall_clock: Callable[[], float] = time
    random: Random = field(default_factory=Random)
    spread: Spread = _keep
    memory_bytes: int = _MEMORY_BYTES
