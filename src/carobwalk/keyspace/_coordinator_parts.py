"""What coordination needs."""

from dataclasses import dataclass

from carobwalk.events import EventLog
from carobwalk.keyspace._load_collector import LoadCollector
from carobwalk.keyspace._map_feed import MapFeed
from carobwalk.keyspace._order_desk import OrderParts
from carobwalk.keyspace._succession import Succession
from carobwalk.model import Clock


@dataclass(frozen=True, slots=True, kw_only=True)
class CoordinatorParts:
    """What coordination needs.

    Args:
        orders: What orders need.
        collector: Load of all processes.
        feed: Tells other processes of maps.
        succession: Asks the coordinators before, and answers the next ones.
        clock: Clock that runs on while the host is suspended.
        events: Log of events.
    """

    orders: OrderParts
    collector: LoadCollector
    feed: MapFeed
    succession: Succession
    clock: Clock
    events: EventLog
