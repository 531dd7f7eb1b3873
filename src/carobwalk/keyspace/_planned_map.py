"""The map while a plan is made, with the load of each server."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Final

from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyRange, ServerLife
from carobwalk.keyspace._move import Move, MoveCause

# Utilisation above the mean from which on keys move.
_EXCESS: Final = 1.2
_LEAST_EXCESS: Final = 0.08
_LEAST_UTILISATION: Final = 0.3


class PlannedMap:
    """The map with the moves planned so far.

    Args:
        key_map: The map before.
        capacities: Requests a second that each usable server can take.
        load: How often keys are asked for.
    """

    def __init__(
        self,
        key_map: KeyMap,
        capacities: Mapping[ServerLife, float],
        load: KeyLoad,
    ) -> None:
        self.key_map = key_map
        self.moves: list[Move] = []
        self._capacities = capacities
        self._load = load
        self._rates_by_life: dict[ServerLife, float] = defaultdict(float)
        self._unservable = load.excess(max(capacities.values(), default=0))
        for part in key_map:
            self._rates_by_life[part.owner] += self.rate(part)

    def rate(self, part: KeyRange) -> float:
        """Return the requests a second for a range."""
        return self._load.rate(part.first, part.last)

    def move(
        self,
        first: int,
        last: int,
        owner: ServerLife,
        cause: MoveCause,
    ) -> None:
        """Plan a move of keys that have one owner until now."""
        rate = self._load.rate(first, last)
        found = self.key_map.find(first)
        if found is not None:
            self._rates_by_life[found.owner] -= rate
        self._rates_by_life[owner] += rate
        self.moves.append(Move(first, last, owner, cause))
        part = KeyRange(first=first, last=last, owner=owner)
        self.key_map = self.key_map.assign((part,))

    def utilisation(self, life: ServerLife) -> float:
        """Return the share of a server's capacity that is asked for."""
        return self._rates_by_life[life] / self._capacities[life]

    def mean_utilisation(self) -> float:
        """Return the share of the capacity of all servers that is asked for.

        What single keys are asked for beyond the fastest server's capacity
        does not count: no move can serve it.
        """
        rate = sum(self._rates_by_life[life] for life in self._capacities)
        return (rate - self._unservable) / sum(self._capacities.values())

    def is_overused(self, life: ServerLife) -> bool:
        """Return whether a server has so much that keys should move."""
        mean = self.mean_utilisation()
        least = max(mean * _EXCESS, mean + _LEAST_EXCESS, _LEAST_UTILISATION)
        return self.utilisation(life) >= least

    def least_used(self) -> ServerLife:
        """Return the usable server with the most room."""
        return min(
            self._capacities,
            key=lambda life: (self.utilisation(life), life),
        )

    def most_used(self, among: Iterable[ServerLife]) -> ServerLife | None:
        """Return the usable server with the least room that has keys."""
        owners = {part.owner for part in self.key_map if part.is_granted}
        return max(
            owners & set(among),
            key=lambda life: (self.utilisation(life), life),
            default=None,
        )
