"""Parts of a process that all others are built on."""

from dataclasses import dataclass

from carobwalk.app._clients import Clients, connect_platform
from carobwalk.events import HybridClock, LineEventLog
from carobwalk.metrics import Metrics
from carobwalk.model import Clock, Endpoint, SuspendAwareClock
from carobwalk.peer import PeerHub, TopicRegistry
from carobwalk.settings import Settings


@dataclass(frozen=True, slots=True, kw_only=True)
class Core:
    """Parts of a process that all others are built on.

    Args:
        settings: Validated settings.
        own: This process; its address is that of its peer listener.
        clock: Clock of leases and deadlines.
        events: Log of events.
        metrics: Counts and times.
        topics: Handlers of other processes' questions.
        hub: Connections to other processes.
        clients: Clients of the platform's services.
    """

    settings: Settings
    own: Endpoint
    clock: Clock
    events: LineEventLog
    metrics: Metrics
    topics: TopicRegistry
    hub: PeerHub
    clients: Clients


def build_core(settings: Settings) -> Core:
    """Return the parts that the settings describe.

    Raises:
        OSError: If the log can not be opened.
    """
    place = settings.process
    own = Endpoint(
        place.id,
        settings.listen.peers,
        place.region,
        place.data_centre,
    )
    stamps = HybridClock()
    log = settings.log
    topics = TopicRegistry()
    return Core(
        settings=settings,
        own=own,
        clock=SuspendAwareClock(),
        events=LineEventLog.open(place.id, stamps, log.path, log.level),
        metrics=Metrics(place.id),
        topics=topics,
        hub=PeerHub(own, stamps, topics),
        clients=connect_platform(settings.platform),
    )
