"""Components that are shared by all parts of a gateway process."""

from dataclasses import dataclass
from typing import Final

import trio

from carobwalk.app._answer_bytes import store_answer_bytes
from carobwalk.app._own_endpoint import own_endpoint
from carobwalk.directory import ServerDirectory
from carobwalk.events import (
    BoundedOutput,
    EventLog,
    HybridClock,
    LineEventLog,
    RateLimitedEventLog,
)
from carobwalk.http import (
    AnswerMemory,
    HttpClient,
    connect_with_keepalive,
    reset_on_close,
)
from carobwalk.metrics import CountingEventLog, MeteredSender, Metrics
from carobwalk.model import Address, Clock, Endpoint, SuspendAwareClock
from carobwalk.peer import PeerHub, TopicRegistry
from carobwalk.platform import PlatformStore
from carobwalk.routing import ActiveRoutes
from carobwalk.settings import GatewaySettings

# Answers to grants and releases carry their data in header fields.
_MAX_ORDER_ANSWER_BYTES: Final = 16_384


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayCore:
    """Components that are shared by all parts of a gateway process.

    Args:
        settings: Validated settings.
        own: Endpoint of this process; the address is that of its peer
            listener.
        clock: Clock of leases.
        output: Bounded buffer that writes the lines of the log.
        log: Event log that writes lines; closed at shutdown.
        events: Event log that updates metrics and forwards to ``log``,
            rate-limited.
        metrics: Metrics of the process.
        topics: Handlers of messages from peers, by topic.
        hub: Connections to peers.
        store: Client of the platform's key-value store.
        grant_client: HTTP client for grants and releases of keys.
        directory: Registered backend servers.
        routes: Routing configuration in force.
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
    grant_client: HttpClient
    directory: ServerDirectory
    routes: ActiveRoutes


def build_gateway_core(settings: GatewaySettings) -> GatewayCore:
    """Return the shared components of a gateway process.

    Args:
        settings: Validated settings.
    """
    own = own_endpoint(settings.process, settings.listen.peers)
    hybrid_clock = HybridClock()
    output = BoundedOutput()
    log = LineEventLog.open(
        own.name,
        hybrid_clock,
        output.write,
        settings.log.level,
    )
    clock = SuspendAwareClock()
    metrics = Metrics(own.name)
    rate_limited = RateLimitedEventLog(log, clock.now)
    events = CountingEventLog(rate_limited, metrics, clock)
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
        hub=PeerHub(own, hybrid_clock, topics),
        store=PlatformStore(
            MeteredSender(
                HttpClient(
                    connect=connect_with_keepalive,
                    memory=AnswerMemory(store_answer_bytes(settings.host)),
                ),
                metrics,
            ),
            settings.store.address,
        ),
        grant_client=HttpClient(
            idle_limit=1,
            connect=_connect_for_orders,
            max_answer_bytes=_MAX_ORDER_ANSWER_BYTES,
        ),
        directory=ServerDirectory(
            clock, events, settings.bounds.evacuation_seconds
        ),
        routes=ActiveRoutes(events),
    )


async def _connect_for_orders(address: Address) -> trio.SocketStream:
    """Open a connection that is reset on close, which discards unsent bytes.

    A grant or release whose sender gave up can then not arrive later.
    """
    stream = await connect_with_keepalive(address)
    reset_on_close(stream)
    return stream
