"""Rules for moves of keys when capacities follow the observed speeds."""

from collections.abc import Iterable, Mapping
from typing import Final

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._key_range import KeyRange
from carobwalk.keyspace._move import MoveCause
from carobwalk.keyspace._planned_map import PlannedMap

# Part of its owner's capacity from which a single key is hot.
_HOT_KEY_UTILISATION: Final = 0.3
# Least load that a move must bring to its target, as a part of its capacity.
_MIN_MOVED_UTILISATION: Final = 0.03


class SpeedRules:
    """Decides which moves pay off, and which keys of a hot owner move first.

    Args:
        planned: Key map under planning.
        capacities: Capacity of each usable server in requests per second.
        is_active: Whether capacities follow the observed speeds; otherwise
            all moves are allowed, and none is made here.
    """

    def __init__(
        self,
        planned: PlannedMap,
        capacities: Mapping[ServerIncarnation, float],
        *,
        is_active: bool,
    ) -> None:
        self._planned = planned
        self._capacities = capacities
        self._is_active = is_active

    def is_gain(
        self,
        source: ServerIncarnation,
        target: ServerIncarnation,
        rate: float,
    ) -> bool:
        """Return whether a move's target ends less utilised than its source.

        Capacities follow estimates that change by the second. A move that only
        exchanges the more utilised server delays requests for nothing.

        Args:
            source: Present owner of the keys.
            target: Server that would get them.
            rate: Requests per second for the keys.
        """
        if not self._is_active:
            return True
        added = rate / self._capacities[target]
        after = self._planned.utilisation(target) + added
        return after < self._planned.utilisation(source)

    def relieve(
        self,
        source: ServerIncarnation,
        targets: Iterable[ServerIncarnation],
    ) -> bool:
        """Move the busiest other keys away from the owner of a hot key.

        Args:
            source: An overloaded server.
            targets: Servers that keys may be moved to.

        Returns:
            Whether a move was planned.
        """
        busiest = self._busiest_beside_hot_key(source)
        if busiest is None:
            return False
        target = self._planned.least_utilised(targets)
        rate = self._planned.rate(busiest)
        is_worth_it = rate >= _MIN_MOVED_UTILISATION * self._capacities[target]
        if not is_worth_it or not self.is_gain(source, target, rate):
            return False
        self._planned.move(busiest.first, busiest.last, target, MoveCause.LOAD)
        return True

    def _busiest_beside_hot_key(
        self, source: ServerIncarnation
    ) -> KeyRange | None:
        owned = [
            key_range
            for key_range in self._planned.key_map
            if key_range.owner == source and key_range.is_granted
        ]
        others = [one for one in owned if not self._is_hot(one)]
        if not self._is_active or len(others) == len(owned):
            return None
        return max(others, key=self._planned.rate, default=None)

    def _is_hot(self, key_range: KeyRange) -> bool:
        limit = self._capacities[key_range.owner] * _HOT_KEY_UTILISATION
        return len(key_range) == 1 and self._planned.rate(key_range) > limit
