"""Construction of the ownership role of a process."""

from collections.abc import Callable

from carobwalk.app._core import Core
from carobwalk.app._derive_times import derive_times
from carobwalk.ownership import (
    HttpGrantChannel,
    OwnershipContext,
    OwnershipRole,
)
from carobwalk.profiles import Catalogue


def build_ownership(
    core: Core,
    catalogue: Callable[[], Catalogue],
) -> OwnershipRole:
    """Return the ownership role of a process.

    Args:
        core: Shared components of the process.
        catalogue: Returns the configuration in force.
    """
    return OwnershipRole(
        OwnershipContext(
            own=core.own,
            store=core.store,
            host_list=core.host_list,
            peers=core.hub,
            topics=core.topics,
            channel=HttpGrantChannel(core.http),
            clock=core.clock,
            events=core.events,
            catalogue=catalogue,
            times=derive_times(core.settings),
        ),
    )
