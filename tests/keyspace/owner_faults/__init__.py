"""Random faults of a simulated fleet, by kind."""

from tests.keyspace.owner_faults import (  # noqa: F401 fills the registry
    _order_faults,
    _process_faults,
    _registry_faults,
    _server_faults,
    _start_faults,
    _store_faults,
)
from tests.keyspace.owner_faults._kinds import FaultKind, fault_kinds
from tests.keyspace.owner_faults._plans import (
    FIRST_ROUTERS_BY_PLAN,
    KIND_NAMES_BY_PLAN,
    ORDERS_PLAN,
    REFUSALS_PLAN,
    REGISTRY_PLAN,
    START_PLAN,
    check_plans,
)
from tests.keyspace.owner_faults._start import start_in_trouble
from tests.keyspace.owner_faults._target import (
    ROUTERS,
    SERVERS,
    FaultTarget,
    pause,
)

__all__ = (
    'FIRST_ROUTERS_BY_PLAN',
    'KIND_NAMES_BY_PLAN',
    'ORDERS_PLAN',
    'REFUSALS_PLAN',
    'REGISTRY_PLAN',
    'ROUTERS',
    'SERVERS',
    'START_PLAN',
    'FaultKind',
    'FaultTarget',
    'fault_kinds',
    'pause',
    'start_in_trouble',
)

check_plans(fault_kinds.names)
