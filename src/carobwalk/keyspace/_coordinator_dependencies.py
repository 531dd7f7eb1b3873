"""Components shared by the coordinators of all services."""

from dataclasses import dataclass

from carobwalk.events import EventLog
from carobwalk.keyspace._key_locations import KeyLocations
from carobwalk.keyspace._load_collector import LoadCollector
from carobwalk.keyspace._map_feed import MapFeed
from carobwalk.keyspace._order_sender import OrderDependencies
from carobwalk.keyspace._succession import Succession
from carobwalk.model import Clock


@dataclass(frozen=True, slots=True, kw_only=True)
class CoordinatorDependencies:
    """Components shared by the coordinators of all services.

    Args:
        orders: Components for orders to backend servers.
        collector: Aggregates the load reports of all processes.
        feed: Publishes key maps to other processes.
        succession: Queries preceding coordinators and answers succeeding ones
            about outstanding grants.
        locations: Finds the servers that should own no keys where they are.
        clock: Clock that keeps running while the host is suspended.
        events: Event log.
    """

    orders: OrderDependencies
    collector: LoadCollector
    feed: MapFeed
    succession: Succession
    locations: KeyLocations
    clock: Clock
    events: EventLog
