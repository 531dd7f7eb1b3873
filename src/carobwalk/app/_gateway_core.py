"""Parts of a process on the users' platform that all others are built on."""

from dataclasses import dataclass

import trio

from carobwalk.app._own_endpoint import own_endpoint
from carobwalk.directory import ServerDirectory
from carobwalk.events import (
    BoundedOutput,
    EventLog,
    HybridClock,
    LineEventLog,
    RationedEventLog,
)
from carobwalk.http import HttpClient, connect_probed, reset_on_close
from carobwalk.metrics import CountingEventLog, MeteredSender, Metrics
from carobwalk.model import Address, Clock, Endpoint, SuspendAwareClock
from carobwalk.peer import PeerHub, TopicRegistry
from carobwalk.platform import PlatformStore
from carobwalk.routing import ActiveRoutes
from carobwalk.settings import GatewaySettings


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayCore:
    """Parts that all others are built on.

    Args:
        settings: Validated settings.
        own: This process; its address is that of its peer listener.
        clock: Clock of leases.
        output: Output of the log's lines.
        log: Log that writes events, closed at the end.
        events: Log that counts events and passes them on.
        metrics: Counts and times.
        topics: Handlers of other processes' questions.
        hub: Connections to other processes.
        store: The key-value service.
        orders: Sender of orders to backend servers.
        directory: Registered backend servers.
        routes: The configuration in force.
    """

    settings: GatewaySettings
    own: Endpoint
    clock: Clock
    output: BoundedOutput
    log: LineEventLog
    events: EventLog
    metrics: Metrics
    topics: TopicRegistry
    hub: PeerHub
    store: PlatformStore
    orders: HttpClient
    directory: ServerDirectory
    routes: ActiveRoutes


def build_gateway_core(settings: GatewaySettings) -> GatewayCore:
    """Return the parts that the settings describe."""
    own = own_endpoint(settings.process, settings.listen.peers)
    stamps = HybridClock()
    output = BoundedOutput()
    log = LineEventLog.open(own.name, stamps, output.write, settings.log.level)
    clock = SuspendAwareClock()
    metrics = Metrics(own.name)
    rationed = RationedEventLog(log, clock.now)
    events = CountingEventLog(rationed, metrics, clock)
    topics = TopicRegistry(events)
    return GatewayCore(
        settings=settings,
        own=own,
        clock=clock,
        output=output,
        log=log,
        events=events,
        metrics=metrics,
        topics=topics,
        hub=PeerHub(own, stamps, topics),
        store=PlatformStore(
            MeteredSender(HttpClient(connect=connect_probed), metrics),
            settings.store.address,
        ),
        orders=HttpClient(idle_limit=1, connect=_connect_for_orders),
        directory=ServerDirectory(clock, events),
        routes=ActiveRoutes(events),
    )


async def _connect_for_orders(address: Address) -> trio.SocketStream:
    """Open a connection whose unsent bytes are lost when it is closed."""
    stream = await connect_probed(address)
    reset_on_close(stream)
    return stream
