"""Construction of the follower of the configuration."""

import random
from collections.abc import Callable

from carobwalk.app._core import Core
from carobwalk.model import Endpoint
from carobwalk.profiles.replication import ConfigurationFollower, FollowerParts


def build_follower(
    core: Core,
    known_peers: Callable[[], tuple[Endpoint, ...]],
    is_watcher: Callable[[], bool],
) -> ConfigurationFollower:
    """Return the component that keeps the configuration up to date.

    Args:
        core: Shared components of the process.
        known_peers: Returns the endpoints of all processes known now.
        is_watcher: Returns whether this process watches the store; the others
            learn of changes from their peers.
    """
    return ConfigurationFollower(
        FollowerParts(
            own=core.own,
            store=core.store,
            peers=core.hub,
            topics=core.topics,
            known_peers=known_peers,
            is_watcher=is_watcher,
            clock=core.clock,
            events=core.events,
            generator=random.Random(),
        ),
    )
