"""Owners that are asked for more than they can do."""

import math
from collections import defaultdict
from collections.abc import Mapping
from typing import Final

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.model import ServiceName

# Window of the demand in seconds: a key is hot for some seconds only.
DEMAND_WINDOW_SECONDS: Final = 1.0
# Demand in relation to capacity from which requests are refused. Less is
# worked off by the server's queue and by moves of keys.
_MIN_DEMAND_RATIO: Final = 1.5
# Deviations by which the demand exceeds that ratio, so that chance is no cause.
_CHANCE_DEVIATIONS: Final = 2.0
# Requests that are admitted in relation to the capacity. A little more than it
# keeps the server busy; its queue takes the rest for as long as a key is hot.
_ADMITTED_RATIO: Final = 1.15


def admitted_shares(
    key_map: KeyMap,
    demand: KeyLoad,
    capacities: Mapping[ServerIncarnation, float],
) -> dict[ServerIncarnation, float]:
    """Return the share of requests that overloaded owners can run.

    Args:
        key_map: Owners of all keys.
        demand: Requests per second that are asked for, of a short window.
        capacities: Requests per second that each usable server can run.

    Returns:
        Share of the requests for its keys that an owner can run; owners that
        can run all are left out.
    """
    rates: dict[ServerIncarnation, float] = defaultdict(float)
    for key_range in key_map:
        rates[key_range.owner] += demand.rate(
            key_range.first, key_range.last, even_share=0
        )
    return {
        owner: capacities[owner] * _ADMITTED_RATIO / rate
        for owner, rate in rates.items()
        if owner in capacities and _is_overload(rate, capacities[owner])
    }


def _is_overload(rate: float, capacity: float) -> bool:
    limit = capacity * _MIN_DEMAND_RATIO
    deviation = math.sqrt(limit / (2 * DEMAND_WINDOW_SECONDS))
    return rate > limit + _CHANCE_DEVIATIONS * deviation


class Overloads:
    """Admitted shares of all services, as the coordinator tells them."""

    def __init__(self) -> None:
        self._by_service: dict[ServiceName, dict[ServerIncarnation, float]] = {}

    def replace(
        self, service: ServiceName, shares: dict[ServerIncarnation, float]
    ) -> None:
        """Replace the shares of a service."""
        self._by_service[service] = shares

    def clear(self) -> None:
        """Forget all shares at the end of a term."""
        self._by_service.clear()

    def rows(self) -> tuple[tuple[str, int, float], ...]:
        """Return id, start and admitted share of each overloaded owner."""
        return tuple(
            (owner.server, owner.born, share)
            for shares in self._by_service.values()
            for owner, share in shares.items()
        )
