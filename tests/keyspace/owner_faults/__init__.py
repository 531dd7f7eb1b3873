"""Random faults of a simulated fleet, by kind."""

from tests.keyspace.owner_faults import (  # noqa: F401 fills the registry
    _order_faults,
    _process_faults,
    _registry_faults,
    _server_faults,
    _store_faults,
)
from tests.keyspace.owner_faults._kinds import FaultKind, fault_kinds
from tests.keyspace.owner_faults._plans import (
    KIND_NAMES_BY_PLAN,
    ORDERS_PLAN,
    REGISTRY_PLAN,
    check_plans,
)
from tests.keyspace.owner_faults._target import ROUTERS, SERVERS, FaultTarget

__all__ = (
    'KIND_NAMES_BY_PLAN',
    'ORDERS_PLAN',
    'REGISTRY_PLAN',
    'ROUTERS',
    'SERVERS',
    'FaultKind',
    'FaultTarget',
    'fault_kinds',
)

check_plans(fault_kinds.names)
