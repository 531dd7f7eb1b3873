"""Construction of key ownership at a gateway process."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from carobwalk.app._gateway_core import GatewayCore
from carobwalk.app._load_instruments import register_fleet_load
from carobwalk.gateway import CrashTracker, LoadTable
from carobwalk.keyspace import (
    LOAD_TOPIC,
    MAP_TOPIC,
    SUCCESSION_TOPIC,
    CoordinatorDependencies,
    CoordinatorRole,
    FailureDetector,
    FleetLoad,
    KeyLocations,
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
    WarmupAllowances,
    WarmupSource,
)
from carobwalk.model import ServiceName
from carobwalk.platform import PlatformGrantChannel
from carobwalk.shares import ProcessShare, WarmupBounds


@dataclass(frozen=True, slots=True, kw_only=True)
class Keyspace:
    """Components that assign numbered keys and look up their owners.

    Args:
        reader: Last known key maps and coordinator.
        owners: Looks up the owner of a key.
        role: Stands for election as coordinator, and coordinates if elected.
        reporter: Reports load to the coordinator.
        follower: Receives key maps from the coordinator or the store.
        feed: Serves key maps to peers while this process coordinates.
    """

    reader: KeyReader
    owners: KeyOwnerTable
    role: CoordinatorRole
    reporter: LoadReporter
    follower: MapFollower
    feed: MapFeed


def build_local_load(core: GatewayCore) -> LocalLoad:
    """Return the counters that load reports are made from.

    Args:
        core: Shared components of the process.
    """
    share = ProcessShare()
    return LocalLoad(
        loads=LoadTable(
            core.directory,
            share,
            lambda service: core.routes.warmup_rate(service) is not None,
        ),
        share=share,
        leaving=core.directory.leaving,
        crash_tracker=CrashTracker(),
        events=core.events,
        is_shared=core.settings.choice.shared_load,
    )


def build_keyspace(
    core: GatewayCore,
    reader: KeyReader,
    local: LocalLoad,
    is_current: Callable[[], bool],
) -> Keyspace:
    """Return the components of key ownership.

    Args:
        core: Shared components of the process.
        reader: Last known key maps and coordinator.
        local: Server loads, share and crash tracker of this process;
            updated from the answers of the coordinator.
        is_current: Returns whether the coordinator record is up to date with
            the store.
    """
    times = _key_times(core)
    collector = LoadCollector(
        core.clock,
        core.settings.bounds.repeat_window_seconds,
        _warmup_allowances(core),
        _fleet_load(core),
    )
    core.topics.register(LOAD_TOPIC, collector.answer)
    feed = MapFeed()
    core.topics.register(MAP_TOPIC, feed.answer)
    succession = Succession(core.hub, core.events)
    core.topics.register(SUCCESSION_TOPIC, succession.answer)
    owners = KeyOwnerTable(reader, core.directory)
    orders = OrderDependencies(
        channel=PlatformGrantChannel(core.grant_client, times),
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
                locations=KeyLocations(
                    core.directory.evacuations,
                    core.settings.regions_by_data_centre,
                    core.routes,
                ),
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
        follower=MapFollower(core.hub, core.store, reader, core.events),
        feed=feed,
    )


def _warmup_allowances(core: GatewayCore) -> WarmupAllowances:
    bounds = core.settings.bounds
    return WarmupAllowances(
        core.clock,
        WarmupSource(
            directory=core.directory,
            rate_of=core.routes.warmup_rate,
            bounds=WarmupBounds(bounds.warmup_overshoot, bounds.warmup_slack),
        ),
    )


def _fleet_load(core: GatewayCore) -> FleetLoad | None:
    if not core.settings.choice.shared_load:
        return None
    fleet = FleetLoad(core.clock, core.directory.all_servers, core.events)
    register_fleet_load(core.metrics, fleet)
    return fleet


def _key_times(core: GatewayCore) -> KeyTimes:
    defaults = KeyTimes()
    settings = core.settings
    return replace(
        defaults,
        lease=max(defaults.lease, settings.store.shortest_lease_seconds),
        longest_hold=settings.bounds.longest_hold_seconds,
        hold=min(defaults.hold, settings.bounds.longest_hold_seconds),
    )


def _keyed_services(core: GatewayCore) -> Iterable[ServiceName]:
    table = core.routes.table
    if table is None or not core.directory.is_loaded:
        return ()
    return table.configuration.keyed_services
