"""Plans: the kinds of faults that random runs draw from."""

from collections.abc import Iterable
from types import MappingProxyType
from typing import Final

from tests.keyspace.owner_faults._target import ROUTERS

ORDERS_PLAN: Final = 'orders'
REGISTRY_PLAN: Final = 'registry'
START_PLAN: Final = 'start'
REFUSALS_PLAN: Final = 'refusals'

_ORDERS_NAMES: Final = (
    'no-connection',
    'partition',
    'leaving-at-election',
    'silent',
    'slow-orders',
    'late-grants',
    'lost-answers',
    'late-releases',
    'long-work',
    'leaving',
    'restart',
    'kill',
    'resign',
    'freeze',
    'store-cut',
    'store-down',
    'store-slow',
    'store-lost-answers',
    'store-late-writes',
    'slow-peers',
)
_REGISTRY_NAMES: Final = (
    'registry-lag',
    'registry-stuck',
    'entry-missing',
    'entry-outdated',
    'entry-vanishes',
    'restart-elsewhere',
    'restart-at-election',
    'drain-and-exit',
    'resign-in-trouble',
    'store-turns-away',
    'takeovers',
)
_START_NAMES: Final = (
    'first-map-series',
    'service-added',
    'no-connection',
    'silent',
    'restart-elsewhere',
    'kill',
    'resign',
    'freeze',
    'store-down',
    'store-late-writes',
    'slow-peers',
    'registry-lag',
)
_REFUSALS_NAMES: Final = (
    'resets-connections',
    'address-reused',
    'restart-elsewhere',
    'no-connection',
    'silent',
    'kill',
    'resign',
    'freeze',
    'store-cut',
    'store-down',
    'slow-peers',
    'registry-lag',
)
# A plan is never extended or put into another order, so that its seeds keep
# their runs.
KIND_NAMES_BY_PLAN: Final = MappingProxyType(
    {
        ORDERS_PLAN: _ORDERS_NAMES,
        REGISTRY_PLAN: (*_ORDERS_NAMES, *_REGISTRY_NAMES),
        START_PLAN: _START_NAMES,
        REFUSALS_PLAN: _REFUSALS_NAMES,
    }
)
# Processes that are started before the faults begin.
FIRST_ROUTERS_BY_PLAN: Final = MappingProxyType(
    {
        ORDERS_PLAN: ROUTERS,
        REGISTRY_PLAN: ROUTERS,
        START_PLAN: 1,
        REFUSALS_PLAN: ROUTERS,
    }
)


class UnplannedFaultError(Exception):
    """Kinds of faults that no plan draws from."""


def check_plans(names: Iterable[str]) -> None:
    """Check that each kind of fault belongs to a plan.

    Args:
        names: Names of all registered kinds.

    Raises:
        UnplannedFaultError: A kind belongs to no plan.
    """
    unplanned = set(names).difference(*KIND_NAMES_BY_PLAN.values())
    if unplanned:
        raise UnplannedFaultError(*sorted(unplanned))
