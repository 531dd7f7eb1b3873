"""Following of the store records that a gateway process needs."""

from collections.abc import Callable
from dataclasses import dataclass

from carobwalk.app._gateway_core import GatewayCore
from carobwalk.keyspace import COORDINATOR_NAME, KeyReader
from carobwalk.platform import (
    CONFIGURATION_PREFIX,
    REGISTRY_PREFIX,
    ConfigurationReader,
    EvacuationReader,
    OperatorReader,
    RegistryReader,
)
from carobwalk.relay import (
    RELAY_TOPIC,
    FreshnessTimes,
    RecordRelay,
    RecordRelayParts,
    RelayHost,
)
from carobwalk.store import RecordFollower


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordFollowers:
    """Following of store records, and their relaying between processes.

    Args:
        coordinator: Follows the record of the coordinator.
        relay: Follows this and all other records, and relays them.
    """

    coordinator: RecordFollower
    relay: RecordRelay


def build_record_followers(
    core: GatewayCore,
    key_reader: KeyReader,
    is_coordinator: Callable[[], bool],
) -> RecordFollowers:
    """Return the followers of all records, not yet started.

    Args:
        core: Shared components of the process.
        key_reader: Applies the record of the coordinator.
        is_coordinator: Returns whether this process coordinates.
    """
    settings = core.settings
    relay = RecordRelay(
        RecordRelayParts(
            own=core.own,
            host=RelayHost(
                settings.host.speed,
                settings.host.link_megabits,
                settings.store.shortest_lease_seconds,
            ),
            store=core.store,
            peers=core.hub,
            is_coordinator=is_coordinator,
            times=FreshnessTimes(settings.bounds.news_seconds),
            clock=core.clock,
            events=core.events,
        ),
    )
    relay.follow(REGISTRY_PREFIX, RegistryReader(core.directory, core.events))
    # Evacuations come first, so that a configuration which adds a service is
    # never in force without those that are listed with it.
    operator = relay.follow(
        CONFIGURATION_PREFIX,
        OperatorReader(
            EvacuationReader(
                core.directory.evacuations, lambda: operator.records.proved_at
            ),
            ConfigurationReader(core.routes),
        ),
    )
    core.topics.register(RELAY_TOPIC, relay.feed.answer)
    return RecordFollowers(
        coordinator=relay.follow(COORDINATOR_NAME, key_reader, is_timely=False),
        relay=relay,
    )
