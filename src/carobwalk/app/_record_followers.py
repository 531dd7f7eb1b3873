"""Followers of the store records that a gateway process needs."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from carobwalk.app._gateway_core import GatewayCore
from carobwalk.keyspace import COORDINATOR_NAME, KeyReader
from carobwalk.platform import (
    CONFIGURATION_PREFIX,
    REGISTRY_PREFIX,
    ConfigurationReader,
    RegistryReader,
)
from carobwalk.store import RecordFollower, RecordReader


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordFollowers:
    """Followers of store records.

    Args:
        coordinator: Follows the record of the coordinator.
        registry: Follows the registry of backend servers.
        configuration: Follows the operator's configuration.
    """

    coordinator: RecordFollower
    registry: RecordFollower
    configuration: RecordFollower

    def start(self, nursery: trio.Nursery) -> None:
        """Start all followers; they run until the nursery is cancelled."""
        nursery.start_soon(self.configuration.run)
        nursery.start_soon(self.registry.run)
        nursery.start_soon(self.coordinator.run)


def build_record_followers(
    core: GatewayCore,
    key_reader: KeyReader,
    is_coordinator: Callable[[], bool],
) -> RecordFollowers:
    """Return the followers of all records, not yet started.

    Args:
        core: Shared components of the process.
        key_reader: Applies the record of the coordinator.
        is_coordinator: Returns whether this process coordinates. Changes of
            the registry are then not batched, since the assignment of keys
            depends on them.
    """
    registry_reader = RegistryReader(core.directory, core.events)
    return RecordFollowers(
        coordinator=_build_follower(core, COORDINATOR_NAME, key_reader),
        registry=_build_follower(
            core,
            REGISTRY_PREFIX,
            registry_reader,
            is_coordinator,
        ),
        configuration=_build_follower(
            core,
            CONFIGURATION_PREFIX,
            ConfigurationReader(core.routes),
        ),
    )


def _build_follower(
    core: GatewayCore,
    prefix: str,
    reader: RecordReader,
    is_urgent: Callable[[], bool] = bool,
) -> RecordFollower:
    return RecordFollower(
        core.store,
        prefix,
        reader,
        core.clock,
        core.events,
        is_urgent,
    )
