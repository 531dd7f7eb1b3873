"""Dispatchers of a process."""

import time
from collections.abc import Callable

from carobwalk.app._core import Core
from carobwalk.dispatch import Broadcast, DispatchContext, DispatchPool
from carobwalk.ownership import Leases
from carobwalk.profiles import Catalogue


def build_dispatch(
    core: Core,
    leases: Leases,
    catalogue: Callable[[], Catalogue],
    spread: Broadcast,
) -> DispatchPool:
    """Return the dispatchers of a process.

    Args:
        core: Parts of the process.
        leases: Says what may be sent now.
        catalogue: Returns the configuration in force.
        spread: Tells other entries what is in quarantine.
    """
    return DispatchPool(
        DispatchContext(
            leases=leases,
            catalogue=catalogue,
            clock=core.clock,
            events=core.events,
            wall_clock=time.time,
            broadcast=spread,
        ),
    )
