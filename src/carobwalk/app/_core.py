"""Parts of a process that all others are built on."""

from dataclasses import dataclass

from carobwalk.app._clients import connect_platform
from carobwalk.app._own_endpoint import own_endpoint
from carobwalk.app._peer_bytes import watch_peer_bytes
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
    """Parts of a process that all others are built on.

    Args:
        settings: Validated settings.
        own: This process; its address is that of its peer listener.
        clock: Clock of leases and deadlines.
        log: Log that writes events, closed at the end.
        events: Log that counts events and passes them on.
        metrics: Counts and times.
        topics: Handlers of other processes' questions.
        hub: Connections to other processes.
        http: Sender of small HTTP requests.
        store: The platform's key-value service.
        host_list: The platform's list of hosts.
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
    """Return the parts that the settings describe.

    Raises:
        OSError: If the log can not be opened.
    """
    own = own_endpoint(settings.process, settings.listen.peers)
    stamps = HybridClock()
    log = _open_log(settings, stamps)
    clock = SuspendAwareClock()
    metrics = Metrics(own.name)
    events = CountingEventLog(log, metrics, clock, recorders_by_event)
    topics = TopicRegistry(events)
    hub = PeerHub(own, stamps, topics)
    watch_peer_bytes(metrics, hub.traffic)
    clients = connect_platform(settings.platform)
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


def _open_log(settings: Settings, stamps: HybridClock) -> LineEventLog:
    log = settings.log
    return LineEventLog.open(settings.process.id, stamps, log.path, log.level)
