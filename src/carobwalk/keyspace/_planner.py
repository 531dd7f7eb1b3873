"""Decisions on which backend server gets which keys."""

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import pairwise
from typing import Final

from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import MOST_KEY, KeyRange, ServerLife
from carobwalk.keyspace._move import Move, MoveCause
from carobwalk.keyspace._part_choice import choose_part
from carobwalk.keyspace._planned_map import PlannedMap

_MOST_MOVES: Final = 12
_MOST_RANGES_PER_SERVER: Final = 12
_MOST_PIECES: Final = 4
# Utilisation by a single key from which on it is worth a faster server.
_SINGLE_KEY: Final = 0.7
_FASTER: Final = 1.3
# Utilisation that a part must have to be worth a move.
_LEAST_GAIN: Final = 0.03


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
        may_balance: Whether keys may move for a better balance.
    """

    key_map: KeyMap
    usable: Mapping[ServerLife, float]
    movable: frozenset[ServerLife]
    leaving: frozenset[ServerLife]
    load: KeyLoad
    may_balance: bool = True


class Planner:
    """Plans the moves of one look at the map.

    Args:
        view: What the plan is made from.
    """

    def __init__(self, view: PlannerView) -> None:
        self._view = view
        self._planned = PlannedMap(view.key_map, view.usable, view.load)

    def plan(self) -> tuple[Move, ...]:
        """Return the moves, first those that keys without an owner need."""
        if not self._view.usable:
            return ()
        if not self._view.key_map.ranges:
            return self._divide_evenly()
        self._evacuate()
        if self._view.may_balance:
            self._fill_new()
            self._balance()
        return tuple(self._planned.moves)

    def _divide_evenly(self) -> tuple[Move, ...]:
        lives = sorted(self._view.usable)
        bounds = _even_bounds(len(lives))
        return tuple(
            Move(first, last, life, MoveCause.FIRST)
            for (first, last), life in zip(bounds, lives, strict=True)
        )

    def _evacuate(self) -> None:
        """Give the keys of servers that are gone or leave to others."""
        for part in self._view.key_map:
            if part.owner in self._view.leaving:
                self._spread(part, MoveCause.OWNER_LEAVING)
            elif part.owner not in self._view.usable:
                self._spread(part, MoveCause.OWNER_GONE)

    def _spread(self, part: KeyRange, cause: MoveCause) -> None:
        """Divide a range among the servers with the most room."""
        pieces = min(_MOST_PIECES, len(part), len(self._view.usable))
        wanted = self._planned.rate(part) / pieces
        first = part.first
        for later in reversed(range(pieces)):
            last = part.last
            if later:
                most = part.last - later
                last = self._view.load.split_point(first, most, wanted)
                last = max(last, first)
            target = self._planned.least_used()
            self._planned.move(first, last, target, cause)
            first = last + 1

    def _fill_new(self) -> None:
        """Give keys to servers that have none."""
        owners = {part.owner for part in self._planned.key_map}
        for life in sorted(self._view.usable.keys() - owners):
            source = self._planned.most_used(self._view.movable)
            if source is None:
                return
            mean = self._planned.mean_utilisation()
            wanted = mean * self._view.usable[life]
            self._shift(source, life, wanted, MoveCause.NEW_SERVER)

    def _balance(self) -> None:
        """Move load from the most to the least used servers."""
        planned = self._planned
        limit = _MOST_RANGES_PER_SERVER * len(self._view.usable)
        sources = set(self._view.movable)
        while len(planned.moves) < _MOST_MOVES and len(planned.key_map) < limit:
            source = planned.most_used(sources)
            # All others are used less than this one.
            if source is None or not planned.is_overused(source):
                return
            if not self._relieve(source):
                sources.discard(source)

    def _relieve(self, source: ServerLife) -> bool:
        """Take load from a server; return whether a part of it fits."""
        planned = self._planned
        mean = planned.mean_utilisation()
        high = planned.utilisation(source)
        if high > 1 and self._move_to_fastest(source):
            return True
        target = planned.least_used()
        excess = (high - mean) * self._view.usable[source]
        room = (mean - planned.utilisation(target)) * self._view.usable[target]
        return self._shift(source, target, min(excess, room), MoveCause.LOAD)

    def _move_to_fastest(self, source: ServerLife) -> bool:
        """Give a key that is too much for its server to the fastest one."""
        capacities = self._view.usable
        fastest = max(capacities, key=lambda life: (capacities[life], life))
        if capacities[fastest] < capacities[source] * _FASTER:
            return False
        for part in self._planned.key_map:
            is_movable = part.owner == source and part.is_granted
            if not is_movable or len(part) > 1:
                continue
            if self._planned.rate(part) > capacities[source] * _SINGLE_KEY:
                cause = MoveCause.LOAD
                self._planned.move(part.first, part.last, fastest, cause)
                return True
        return False

    def _shift(
        self,
        source: ServerLife,
        target: ServerLife,
        wanted: float,
        cause: MoveCause,
    ) -> bool:
        """Move a part of about a wanted rate; return whether one fits."""
        least = 0 if cause is MoveCause.NEW_SERVER else _LEAST_GAIN
        least *= self._view.usable[target]
        if wanted < least:
            return False
        part = choose_part(
            self._planned.key_map,
            self._view.load,
            source,
            wanted,
            least,
        )
        if part is None:
            return False
        self._planned.move(*part, target, cause)
        return True


def _even_bounds(count: int) -> list[tuple[int, int]]:
    """Return the first and last key of equal parts."""
    keys = MOST_KEY + 1
    starts = [number * keys // count for number in range(count + 1)]
    return [(first, following - 1) for first, following in pairwise(starts)]
