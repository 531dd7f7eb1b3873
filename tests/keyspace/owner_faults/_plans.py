"""Plans: the kinds of faults that random runs draw from."""

from collections.abc import Iterable
from types import MappingProxyType
from typing import Final

ORDERS_PLAN: Final = 'orders'
REGISTRY_PLAN: Final = 'registry'

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
# A plan is never extended or put into another order, so that its seeds keep
# their runs.
KIND_NAMES_BY_PLAN: Final = MappingProxyType(
    {
        ORDERS_PLAN: _ORDERS_NAMES,
        REGISTRY_PLAN: (*_ORDERS_NAMES, *_REGISTRY_NAMES),
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
