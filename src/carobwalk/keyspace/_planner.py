"""Decisions on which backend server gets which keys."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Final

from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import MOST_KEY, KeyRange, ServerLife

# Utilisation above the mean from which on keys move.
_EXCESS: Final = 1.2
_LEAST_EXCESS: Final = 0.08
_LEAST_UTILISATION: Final = 0.3
_MOST_MOVES: Final = 12
_MOST_RANGES_PER_SERVER: Final = 12
_MOST_PIECES: Final = 4
# Utilisation that a part must have to be worth a move.
_LEAST_GAIN: Final = 0.03


@unique
class MoveCause(StrEnum):
    """Why keys get another owner."""

    FIRST = 'first-assignment'
    OWNER_GONE = 'owner-gone'
    OWNER_LEAVING = 'owner-leaving'
    NEW_SERVER = 'new-server'
    LOAD = 'load'


@dataclass(frozen=True, slots=True)
class Move:
    """A range of keys and its new owner.

    Args:
        first: First key.
        last: Last key.
        owner: The new owner.
        cause: Why it moves.
    """

    first: int
    last: int
    owner: ServerLife
    cause: MoveCause


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannerView:
    """What a plan is made from.

    Args:
        key_map: Owners of all keys; empty before the first assignment.
        usable: Servers that may get keys, with their capacity in requests a
            second.
        movable: Servers that keys may be moved away from for a better
            balance.
        leaving: Servers that want no new work but still serve.
        load: How often keys are asked for.
    """

    key_map: KeyMap
    usable: Mapping[ServerLife, float]
    movable: frozenset[ServerLife]
    leaving: frozenset[ServerLife]
    load: KeyLoad


class Planner:
    """Plans the moves of one look at the map.

    Args:
        view: What the plan is made from.
    """

    def __init__(self, view: PlannerView) -> None:
        self._view = view
        self._map = view.key_map
        self._moves: list[Move] = []
        self._rates_by_life = dict.fromkeys(view.usable, 0.0)
        for part in self._map:
            if part.owner in self._rates_by_life:
                rate = view.load.rate(part.first, part.last)
                self._rates_by_life[part.owner] += rate

    def plan(self) -> tuple[Move, ...]:
        """Return the moves, first those that keys without an owner need."""
        if not self._view.usable:
            return ()
        if not self._map.ranges:
            return self._divide_evenly()
        self._evacuate()
        self._fill_new()
        self._balance()
        return tuple(self._moves)

    def _divide_evenly(self) -> tuple[Move, ...]:
        lives = sorted(self._view.usable)
        count = len(lives)
        bounds = [
            number * (MOST_KEY + 1) // count for number in range(count + 1)
        ]
        return tuple(
            Move(bounds[number], bounds[number + 1] - 1, life, MoveCause.FIRST)
            for number, life in enumerate(lives)
        )

    def _evacuate(self) -> None:
        """Give the keys of servers that are gone or leave to others."""
        for part in self._map.ranges:
            if part.owner in self._view.usable:
                continue
            cause = (
                MoveCause.OWNER_LEAVING
                if part.owner in self._view.leaving
                else MoveCause.OWNER_GONE
            )
            self._spread(part, cause)

    def _spread(self, part: KeyRange, cause: MoveCause) -> None:
        """Divide a range among the servers with the most room."""
        rate = self._view.load.rate(part.first, part.last)
        pieces = min(_MOST_PIECES, len(part), len(self._view.usable))
        first = part.first
        for number in range(pieces, 0, -1):
            last = part.last
            if number > 1:
                last = self._view.load.split_point(
                    first,
                    part.last - number + 1,
                    rate / pieces,
                )
                last = max(last, first)
            self._move(first, last, self._least_used(), cause)
            first = last + 1

    def _fill_new(self) -> None:
        """Give keys to servers that have none."""
        owners = {part.owner for part in self._map}
        owners.update(move.owner for move in self._moves)
        for life in sorted(self._view.usable.keys() - owners):
            source = self._most_used()
            if source is None:
                return
            wanted = self._mean_utilisation() * self._view.usable[life]
            self._shift(source, life, wanted, MoveCause.NEW_SERVER)

    def _balance(self) -> None:
        """Move load from the most to the least used servers."""
        limit = _MOST_RANGES_PER_SERVER * len(self._view.usable)
        while len(self._moves) < _MOST_MOVES and len(self._map) < limit:
            source = self._most_used()
            if source is None:
                return
            target = self._least_used()
            mean = self._mean_utilisation()
            high = self._utilisation(source)
            least = max(mean * _EXCESS, mean + _LEAST_EXCESS)
            if high < max(least, _LEAST_UTILISATION):
                return
            low = self._utilisation(target)
            wanted = min(
                (high - mean) * self._view.usable[source],
                (mean - low) * self._view.usable[target],
            )
            if not self._shift(source, target, wanted, MoveCause.LOAD):
                return

    def _shift(
        self,
        source: ServerLife,
        target: ServerLife,
        wanted: float,
        cause: MoveCause,
    ) -> bool:
        """Move a part of about a wanted rate; return whether one fits."""
        least = 0.0
        if cause is MoveCause.LOAD:
            least = _LEAST_GAIN * self._view.usable[target]
        if wanted < least:
            return False
        best: tuple[float, int, int] | None = None
        for part in self._map:
            if part.owner != source or not part.is_granted:
                continue
            for first, last in self._parts(part, wanted):
                rate = self._view.load.rate(first, last)
                miss = abs(rate - wanted)
                if least <= rate <= wanted * 2 and (
                    best is None or miss < best[0]
                ):
                    best = (miss, first, last)
        if best is None:
            return False
        self._move(best[1], best[2], target, cause)
        return True

    def _parts(
        self,
        part: KeyRange,
        wanted: float,
    ) -> tuple[tuple[int, int], ...]:
        """Return the parts of a range that might be moved."""
        load = self._view.load
        rate = load.rate(part.first, part.last)
        if rate <= wanted:
            return ((part.first, part.last),)
        head_end = load.split_point(part.first, part.last, wanted)
        rest_end = load.split_point(part.first, part.last, rate - wanted)
        parts = []
        if part.first <= head_end:
            parts.append((part.first, head_end))
        if rest_end < part.last:
            parts.append((rest_end + 1, part.last))
        return tuple(parts)

    def _move(
        self,
        first: int,
        last: int,
        owner: ServerLife,
        cause: MoveCause,
    ) -> None:
        rate = self._view.load.rate(first, last)
        found = self._map.find(first)
        if found is not None and found.owner in self._rates_by_life:
            self._rates_by_life[found.owner] -= rate
        self._rates_by_life[owner] += rate
        self._moves.append(Move(first, last, owner, cause))
        part = KeyRange(first=first, last=last, owner=owner)
        self._map = self._map.assign((part,))

    def _utilisation(self, life: ServerLife) -> float:
        return self._rates_by_life[life] / self._view.usable[life]

    def _mean_utilisation(self) -> float:
        rate = sum(self._rates_by_life.values())
        return rate / sum(self._view.usable.values())

    def _least_used(self) -> ServerLife:
        return min(
            self._view.usable,
            key=lambda life: (self._utilisation(life), life),
        )

    def _most_used(self) -> ServerLife | None:
        sources = {
            part.owner for part in self._map if part.is_granted
        } & self._view.movable
        if not sources:
            return None
        return max(sources, key=lambda life: (self._utilisation(life), life))
