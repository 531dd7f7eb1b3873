"""Components that are shared by all parts of a process."""

from dataclasses import dataclass

from carobwalk.app._own_endpoint import own_endpoint
from carobwalk.app._peer_traffic import register_peer_traffic
from carobwalk.app._platform_clients import build_platform_clients
from carobwalk.events import EventLog, HybridClock, LineEventLog
from carobwalk.http import HttpClient
from carobwalk.metrics import CountingEventLog, MeteredStore, Metrics
from carobwalk.metrics.recorders import recorders_by_event
from carobwalk.model import Clock, Endpoint, SuspendAwareClock
from carobwalk.peer import PeerHub, TopicRegistry
from carobwalk.settings import Settings
from carobwalk.store import HostList, Store


@dataclass(frozen=True, slots=True, kw_only=True)
class Core:
    """Components that are shared by all parts of a process.

    Args:
        settings: Validated settings.
        own: Endpoint of this process; the address is that of its peer
            listener.
        clock: Clock of leases and deadlines.
        log: Event log that writes lines; closed at shutdown.
        events: Event log that updates metrics and forwards to ``log``.
        metrics: Metrics of the process.
        topics: Handlers of messages from peers, by topic.
        hub: Connections to peers.
        http: HTTP client for calls to the platform and to backend servers.
        store: Client of the platform's key-value store.
        host_list: Client of the platform's host list.
    """

    settings: Settings
    own: Endpoint
    clock: Clock
    log: LineEventLog
    events: EventLog
    metrics: Metrics
    topics: TopicRegistry
    hub: PeerHub
    http: HttpClient
    store: Store
    host_list: HostList


def build_core(settings: Settings) -> Core:
    """Return the shared components of a process.

    Args:
        settings: Validated settings.

    Raises:
        OSError: If the log file cannot be opened.
    """
    own = own_endpoint(settings.process, settings.listen.peers)
    hybrid_clock = HybridClock()
    log = _open_log(settings, hybrid_clock)
    clock = SuspendAwareClock()
    metrics = Metrics(own.name)
    events = CountingEventLog(log, metrics, clock, recorders_by_event)
    topics = TopicRegistry(events)
    hub = PeerHub(own, hybrid_clock, topics)
    register_peer_traffic(metrics, hub.traffic)
    clients = build_platform_clients(settings.platform)
    return Core(
        settings=settings,
        own=own,
        clock=clock,
        log=log,
        events=events,
        metrics=metrics,
        topics=topics,
        hub=hub,
        http=clients.http,
        store=MeteredStore(clients.store, metrics),
        host_list=clients.host_list,
    )


def _open_log(settings: Settings, hybrid_clock: HybridClock) -> LineEventLog:
    log = settings.log
    return LineEventLog.open(
        settings.process.id,
        hybrid_clock,
        log.path,
        log.level,
    )
