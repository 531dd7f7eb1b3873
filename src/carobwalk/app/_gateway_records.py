"""Records in the store that a process on the users' platform follows."""

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
class Records:
    """Followers of records.

    Args:
        coordinator: Follows the role of the coordinator.
        registry: Follows the backend servers.
        configuration: Follows the configuration.
    """

    coordinator: RecordFollower
    registry: RecordFollower
    configuration: RecordFollower

    def start(self, nursery: trio.Nursery) -> None:
        """Follow all records until the nursery is cancelled."""
        nursery.start_soon(self.configuration.run)
        nursery.start_soon(self.registry.run)
        nursery.start_soon(self.coordinator.run)


def follow_records(
    core: GatewayCore,
    key_reader: KeyReader,
    is_coordinator: Callable[[], bool],
) -> Records:
    """Return the followers of all records.

    Args:
        core: Parts of the process.
        key_reader: Takes the coordinator's record.
        is_coordinator: Returns whether keys wait for this process to learn
            of backend servers.
    """
    registry_reader = RegistryReader(core.directory, core.events)
    return Records(
        coordinator=_follow(core, COORDINATOR_NAME, key_reader),
        registry=_follow(
            core,
            REGISTRY_PREFIX,
            registry_reader,
            is_coordinator,
        ),
        configuration=_follow(
            core,
            CONFIGURATION_PREFIX,
            ConfigurationReader(core.routes),
        ),
    )


def _follow(
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
