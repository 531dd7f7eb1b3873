"""Key map under planning, with the load of each server."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Final

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyRange
from carobwalk.keyspace._move import Move, MoveCause

# Utilisation, relative to the mean, from which a server is overloaded.
_OVERLOAD_RATIO: Final = 1.2
_MIN_OVERLOAD_MARGIN: Final = 0.08
_MIN_OVERLOAD_UTILISATION: Final = 0.3
# Standard deviations from the mean that the busiest of some hundred equally
# loaded servers seldom exceeds.
_CHANCE_DEVIATIONS: Final = 3.5
# Utilisation from which a server is overloaded, by chance or not.
_FULL_UTILISATION: Final = 0.95


class PlannedMap:
    """Key map with the moves planned so far applied.

    Args:
        key_map: Key map before the first move.
        capacities: Capacity of each usable server in requests per second.
        load: Request rates of keys.
    """

    def __init__(
        self,
        key_map: KeyMap,
        capacities: Mapping[ServerIncarnation, float],
        load: KeyLoad,
    ) -> None:
        self.key_map = key_map
        self.moves: list[Move] = []
        self._capacities = capacities
        self._load = load
        self._rates_by_incarnation: dict[ServerIncarnation, float] = (
            defaultdict(float)
        )
        self._unservable_rate = load.excess(max(capacities.values(), default=0))
        for key_range in key_map:
            self._rates_by_incarnation[key_range.owner] += self.rate(key_range)

    def rate(self, key_range: KeyRange) -> float:
        """Return the requests per second for a range."""
        return self._load.rate(key_range.first, key_range.last)

    def move(
        self,
        first: int,
        last: int,
        owner: ServerIncarnation,
        cause: MoveCause,
    ) -> None:
        """Plan a move of keys that currently share one owner."""
        rate = self._load.rate(first, last)
        found = self.key_map.find(first)
        if found is not None:
            self._rates_by_incarnation[found.owner] -= rate
        self._rates_by_incarnation[owner] += rate
        self.moves.append(Move(first, last, owner, cause))
        key_range = KeyRange(first=first, last=last, owner=owner)
        self.key_map = self.key_map.assign((key_range,))

    def utilisation(self, incarnation: ServerIncarnation) -> float:
        """Return the load of a server relative to its capacity."""
        return (
            self._rates_by_incarnation[incarnation]
            / self._capacities[incarnation]
        )

    def mean_utilisation(self) -> float:
        """Return the load of all servers relative to their total capacity.

        The load of a single key beyond the fastest server's capacity does not
        count, because no move can make it servable.
        """
        rate = sum(
            self._rates_by_incarnation[incarnation]
            for incarnation in self._capacities
        )
        return (rate - self._unservable_rate) / sum(self._capacities.values())

    def is_overloaded(self, incarnation: ServerIncarnation) -> bool:
        """Return whether keys should move away from a server.

        A load that equal servers have by chance is no reason: it will be
        another server's in the next second, and each move makes requests for
        its keys wait.
        """
        mean = self.mean_utilisation()
        threshold = max(
            mean * _OVERLOAD_RATIO,
            mean + _MIN_OVERLOAD_MARGIN,
            min(
                mean + self._chance_margin(incarnation, mean),
                _FULL_UTILISATION,
            ),
            _MIN_OVERLOAD_UTILISATION,
        )
        return self.utilisation(incarnation) >= threshold

    def _chance_margin(
        self, incarnation: ServerIncarnation, mean: float
    ) -> float:
        capacity = self._capacities[incarnation]
        deviation = self._load.chance_deviation(mean * capacity)
        return _CHANCE_DEVIATIONS * deviation / capacity

    def least_utilised(
        self, among: Iterable[ServerIncarnation]
    ) -> ServerIncarnation:
        """Return the usable server with the lowest utilisation among some."""
        return min(
            among,
            key=lambda incarnation: (
                self.utilisation(incarnation),
                incarnation,
            ),
        )

    def most_utilised(
        self, among: Iterable[ServerIncarnation]
    ) -> ServerIncarnation | None:
        """Return the server with the highest utilisation among some owners."""
        owners = {
            key_range.owner
            for key_range in self.key_map
            if key_range.is_granted
        }
        return max(
            owners & set(among),
            key=lambda incarnation: (
                self.utilisation(incarnation),
                incarnation,
            ),
            default=None,
        )
