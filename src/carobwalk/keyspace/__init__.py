"""Assignment of numbered keys to backend servers that own them exclusively."""

from carobwalk.keyspace._coordinator_dependencies import CoordinatorDependencies
from carobwalk.keyspace._coordinator_record import COORDINATOR_NAME
from carobwalk.keyspace._coordinator_role import (
    CoordinatorRole,
    RoleDependencies,
)
from carobwalk.keyspace._failure_detector import FailureDetector
from carobwalk.keyspace._fleet_load import FleetLoad
from carobwalk.keyspace._key_locations import KeyLocations, count_evacuated_keys
from carobwalk.keyspace._key_owner_table import KeyOwnerTable
from carobwalk.keyspace._key_reader import KeyReader
from carobwalk.keyspace._load_collector import LoadCollector
from carobwalk.keyspace._load_reporter import LoadReporter
from carobwalk.keyspace._local_load import LocalLoad, RequestQuarantined
from carobwalk.keyspace._map_feed import MapFeed
from carobwalk.keyspace._map_follower import MapFollower
from carobwalk.keyspace._order_sender import OrderDependencies
from carobwalk.keyspace._orders import (
    Grant,
    OrderChannel,
    OrderFailure,
    OrderMisdirected,
    OrderRefused,
    OrderUnanswered,
    OrderUnsent,
    Release,
)
from carobwalk.keyspace._server_incarnations import ServerIncarnations
from carobwalk.keyspace._succession import Succession
from carobwalk.keyspace._times import KeyTimes
from carobwalk.keyspace._topics import (
    LOAD_TOPIC,
    MAP_TOPIC,
    SUCCESSION_TOPIC,
)
from carobwalk.keyspace._warmup_allowances import (
    WarmupAllowances,
    WarmupSource,
)

__all__ = (
    'COORDINATOR_NAME',
    'LOAD_TOPIC',
    'MAP_TOPIC',
    'SUCCESSION_TOPIC',
    'CoordinatorDependencies',
    'CoordinatorRole',
    'FailureDetector',
    'FleetLoad',
    'Grant',
    'KeyLocations',
    'KeyOwnerTable',
    'KeyReader',
    'KeyTimes',
    'LoadCollector',
    'LoadReporter',
    'LocalLoad',
    'MapFeed',
    'MapFollower',
    'OrderChannel',
    'OrderDependencies',
    'OrderFailure',
    'OrderMisdirected',
    'OrderRefused',
    'OrderUnanswered',
    'OrderUnsent',
    'Release',
    'RequestQuarantined',
    'RoleDependencies',
    'ServerIncarnations',
    'Succession',
    'WarmupAllowances',
    'WarmupSource',
    'count_evacuated_keys',
)
