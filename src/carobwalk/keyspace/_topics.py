"""Topics of the messages between coordinators and other processes."""

from carobwalk.keyspace._load_report import LOAD_TOPIC
from carobwalk.keyspace._map_messages import MAP_TOPIC
from carobwalk.keyspace._succession_messages import SUCCESSION_TOPIC

__all__ = ('LOAD_TOPIC', 'MAP_TOPIC', 'SUCCESSION_TOPIC')
