"""Ownership of a process."""

from collections.abc import Callable

from carobwalk.app._core import Core
from carobwalk.ownership import (
    HttpGrantChannel,
    OwnershipContext,
    OwnershipRole,
    OwnershipTimes,
)
from carobwalk.profiles import Catalogue
from carobwalk.settings import Settings


def build_ownership(
    core: Core,
    catalogue: Callable[[], Catalogue],
) -> OwnershipRole:
    """Return the ownership role of a process.

    Args:
        core: Parts of the process.
        catalogue: Returns the configuration in force.
    """
    return OwnershipRole(
        OwnershipContext(
            own=core.own,
            store=core.clients.store,
            host_list=core.clients.host_list,
            peers=core.hub,
            topics=core.topics,
            channel=HttpGrantChannel(core.clients.http),
            clock=core.clock,
            events=core.events,
            catalogue=catalogue,
            times=_times(core.settings),
        ),
    )


def _times(settings: Settings) -> OwnershipTimes:
    ownership = settings.ownership
    return OwnershipTimes(
        heartbeat=ownership.heartbeat_seconds,
        grant_ttl=ownership.grant_seconds,
        lease_ttl=ownership.lease_seconds,
        store_timeout=settings.platform.timeout_seconds,
        host_list_interval=settings.platform.host_list_interval_seconds,
    )
