"""Construction of the dispatchers of a process."""

import time
from collections.abc import Callable

from carobwalk.app._core import Core
from carobwalk.dispatch import DispatchContext, DispatchPool, Spread
from carobwalk.ownership import Leases
from carobwalk.profiles import Catalogue


def build_dispatch(
    core: Core,
    leases: Leases,
    catalogue: Callable[[], Catalogue],
    spread: Spread,
) -> DispatchPool:
    """Return the dispatchers of a process.

    Args:
        core: Shared components of the process.
        leases: Leases under which this process may send requests.
        catalogue: Returns the configuration in force.
        spread: Replicates the quarantine to the other entries.
    """
    return DispatchPool(
        DispatchContext(
            leases=leases,
            catalogue=catalogue,
            clock=core.clock,
            events=core.events,
            wall_clock=time.time,
            spread=spread,
        ),
    )
