"""Ownership of numbered keys at a process on the users' platform."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from carobwalk.app._gateway_core import GatewayCore
from carobwalk.keyspace import (
    LOAD_TOPIC,
    MAP_TOPIC,
    SUCCESSION_TOPIC,
    CoordinatorDependencies,
    CoordinatorRole,
    FailureDetector,
    KeyOwnerTable,
    KeyReader,
    KeyTimes,
    LoadCollector,
    LoadReporter,
    LocalLoad,
    MapFeed,
    MapFollower,
    OrderDependencies,
    RoleDependencies,
    ServerIncarnations,
    Succession,
)
from carobwalk.model import ServiceName
from carobwalk.platform import PlatformOrders


@dataclass(frozen=True, slots=True, kw_only=True)
class Keyspace:
    """Ownership of numbered keys.

    Args:
        reader: What the records say.
        owners: Looks up owners.
        role: Coordinates when it is this process's turn.
        reporter: Reports to the coordinator.
        follower: Learns of maps.
        feed: Tells the maps while this process coordinates.
    """

    reader: KeyReader
    owners: KeyOwnerTable
    role: CoordinatorRole
    reporter: LoadReporter
    follower: MapFollower
    feed: MapFeed


def build_keyspace(
    core: GatewayCore,
    reader: KeyReader,
    local: LocalLoad,
    is_current: Callable[[], bool],
) -> Keyspace:
    """Return the parts that own and find keys.

    Args:
        core: Parts of the process.
        reader: What the records say.
        local: What this process counts, and takes from the coordinator.
        is_current: Returns whether the records are followed.
    """
    times = _times(core)
    collector = LoadCollector(core.clock)
    core.topics.register(LOAD_TOPIC, collector.answer)
    feed = MapFeed()
    core.topics.register(MAP_TOPIC, feed.answer)
    succession = Succession(core.hub, core.events)
    core.topics.register(SUCCESSION_TOPIC, succession.answer)
    owners = KeyOwnerTable(reader, core.directory)
    orders = OrderDependencies(
        channel=PlatformOrders(core.orders, times),
        incarnations=ServerIncarnations(core.directory),
        failure_detector=FailureDetector(
            times, core.clock, collector.speeds.last_answered_at
        ),
        times=times,
        events=core.events,
    )
    role = CoordinatorRole(
        RoleDependencies(
            own=core.own,
            store=core.store,
            reader=reader,
            is_current=is_current,
            keyed_services=lambda: _keyed_services(core),
            speed=core.settings.host.speed,
            coordination=CoordinatorDependencies(
                orders=orders,
                collector=collector,
                feed=feed,
                succession=succession,
                clock=core.clock,
                events=core.events,
            ),
        ),
    )
    return Keyspace(
        reader=reader,
        owners=owners,
        role=role,
        reporter=LoadReporter(core.hub, reader, owners, local),
        follower=MapFollower(core.hub, core.store, reader),
        feed=feed,
    )


def _times(core: GatewayCore) -> KeyTimes:
    usual = KeyTimes()
    settings = core.settings
    return replace(
        usual,
        lease=max(usual.lease, settings.store.shortest_lease_seconds),
        longest_hold=settings.bounds.longest_hold_seconds,
        hold=min(usual.hold, settings.bounds.longest_hold_seconds),
    )


def _keyed_services(core: GatewayCore) -> Iterable[ServiceName]:
    table = core.routes.table
    if table is None or not core.directory.is_loaded:
        return ()
    return table.configuration.keyed_services
