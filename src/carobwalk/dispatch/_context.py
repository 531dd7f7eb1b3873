"""What all dispatchers of a process share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from time import time

from carobwalk.events import EventLog
from carobwalk.model import Clock
from carobwalk.ownership import Leases
from carobwalk.profiles import Catalogue

CurrentCatalogue = Callable[[], Catalogue]


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
    """

    leases: Leases
    catalogue: CurrentCatalogue
    clock: Clock
    events: EventLog
    wall_clock: Callable[[], float] = time
    random: Random = field(default_factory=Random)
