"""Planning of the assignment of keys to backend servers."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Final

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import MAX_KEY, KeyRange
from carobwalk.keyspace._move import Move, MoveCause
from carobwalk.keyspace._move_selection import select_keys
from carobwalk.keyspace._planned_map import PlannedMap
from carobwalk.keyspace._speed_rules import SpeedRules

_MAX_MOVES_PER_PLAN: Final = 12
# Each range is a grant that the coordinator renews every 0.7 s, so a large
# service has fewer ranges per server than a small one.
_MAX_RANGES_PER_SERVER: Final = 12
_MIN_RANGES_PER_SERVER: Final = 4
_MAX_RANGES: Final = 300
# Share of the most ranges above which keys of lost and leaving servers are not
# divided, so that some are left to isolate hot keys.
_DIVIDED_SHARE: Final = 0.5
_MAX_PIECES_PER_RANGE: Final = 4
# Fraction of its owner's capacity above which the load of a single key moves to
# the fastest server.
_HOT_KEY_UTILISATION: Final = 0.7
_MIN_CAPACITY_RATIO: Final = 1.3
# Least load that a balancing move must bring to its target, as a fraction of
# the target's capacity.
_MIN_MOVED_UTILISATION: Final = 0.03


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannerView:
    """Input of the planner.

    Args:
        key_map: Owners of all keys; empty before the first assignment.
        usable: Servers that may be given keys, with their capacity in requests
            per second.
        movable: Servers that keys may be moved away from to balance the load.
        leaving: Servers that are draining: they serve but are given no keys.
        load: Request rates of keys.
        may_balance: Whether keys may move to balance the load.
        unanswering: Usable servers whose last order was not answered, or that
            are soon warm. They keep their keys but are given none while there
            are others.
        misplaced: Servers, not among the usable ones, that serve but have to
            give their keys away because of their location, with the reason.
        by_speed: Whether capacities follow the speeds that all processes
            observe, so that moves follow ``SpeedRules``.
    """

    key_map: KeyMap
    usable: Mapping[ServerIncarnation, float]
    movable: frozenset[ServerIncarnation]
    leaving: frozenset[ServerIncarnation]
    load: KeyLoad
    may_balance: bool = True
    unanswering: frozenset[ServerIncarnation] = frozenset()
    misplaced: Mapping[ServerIncarnation, MoveCause] = field(
        default_factory=dict
    )
    by_speed: bool = False

    def targets(self) -> frozenset[ServerIncarnation]:
        """Return the servers that keys may be moved to."""
        usable = frozenset(self.usable)
        return usable - self.unanswering or usable


class Planner:
    """Plans the moves of one planning round.

    Args:
        view: Current owners, servers and load.
    """

    def __init__(self, view: PlannerView) -> None:
        self._view = view
        self._planned = PlannedMap(view.key_map, view.usable, view.load)
        self._targets = view.targets()
        self._rules = SpeedRules(
            self._planned, view.usable, is_active=view.by_speed
        )
        self._max_ranges = _max_ranges(len(view.usable))

    def plan(self) -> tuple[Move, ...]:
        """Return the planned moves, first those of keys without an owner."""
        if not self._view.usable:
            return ()
        if not self._view.key_map.ranges:
            return self._divide_evenly()
        self._replace_owners()
        if self._view.may_balance:
            self._assign_to_new_servers()
            self._balance()
        return tuple(self._planned.moves)

    def _divide_evenly(self) -> tuple[Move, ...]:
        incarnations = sorted(self._view.usable)
        bounds = _even_bounds(len(incarnations))
        return tuple(
            Move(first, last, incarnation, MoveCause.FIRST)
            for (first, last), incarnation in zip(
                bounds, incarnations, strict=True
            )
        )

    def _replace_owners(self) -> None:
        """Reassign the keys of lost, leaving and misplaced servers."""
        for key_range in self._view.key_map:
            owner = key_range.owner
            if owner in self._view.leaving:
                self._distribute(key_range, MoveCause.OWNER_LEAVING)
            elif owner not in self._view.usable:
                cause = self._view.misplaced.get(owner, MoveCause.OWNER_GONE)
                self._distribute(key_range, cause)

    def _distribute(self, key_range: KeyRange, cause: MoveCause) -> None:
        """Divide a range among the least utilised servers."""
        pieces = min(
            _MAX_PIECES_PER_RANGE, len(key_range), len(self._view.usable)
        )
        if len(self._planned.key_map) >= self._max_ranges * _DIVIDED_SHARE:
            pieces = 1
        target_rate = self._planned.rate(key_range) / pieces
        first = key_range.first
        for remaining in reversed(range(pieces)):
            last = key_range.last
            if remaining:
                max_last = key_range.last - remaining
                last = self._view.load.split_point(first, max_last, target_rate)
                last = max(last, first)
            target = self._planned.least_utilised(self._targets)
            self._planned.move(first, last, target, cause)
            first = last + 1

    def _assign_to_new_servers(self) -> None:
        """Assign keys to servers that have none."""
        owners = {key_range.owner for key_range in self._planned.key_map}
        for incarnation in sorted(self._targets - owners):
            source = self._planned.most_utilised(self._view.movable)
            if source is None:
                return
            mean = self._planned.mean_utilisation()
            target_rate = mean * self._view.usable[incarnation]
            self._move_load(
                source, incarnation, target_rate, MoveCause.NEW_SERVER
            )

    def _balance(self) -> None:
        """Move load from the most to the least utilised servers."""
        planned = self._planned
        sources = set(self._view.movable)
        while len(planned.moves) < _MAX_MOVES_PER_PLAN:
            source = planned.most_utilised(sources)
            # All other servers are utilised less than this one.
            if source is None or not planned.is_overloaded(source):
                return
            if not self._reduce_load(source):
                sources.discard(source)

    def _reduce_load(self, source: ServerIncarnation) -> bool:
        """Move load away from a server; return whether a move was planned."""
        planned = self._planned
        mean = planned.mean_utilisation()
        high = planned.utilisation(source)
        if self._rules.relieve(source, self._targets):
            return True
        if high > 1 and self._move_to_fastest(source):
            return True
        target = planned.least_utilised(self._targets)
        excess = (high - mean) * self._view.usable[source]
        gap = (mean - planned.utilisation(target)) * self._view.usable[target]
        return self._move_load(source, target, min(excess, gap), MoveCause.LOAD)

    def _move_to_fastest(self, source: ServerIncarnation) -> bool:
        """Move a key that overloads its server to the fastest server."""
        capacities = self._view.usable
        fastest = max(
            self._targets,
            key=lambda incarnation: (capacities[incarnation], incarnation),
        )
        if capacities[fastest] < capacities[source] * _MIN_CAPACITY_RATIO:
            return False
        for key_range in self._planned.key_map:
            is_movable = key_range.owner == source and key_range.is_granted
            if not is_movable or len(key_range) > 1:
                continue
            rate = self._planned.rate(key_range)
            is_hot = rate > capacities[source] * _HOT_KEY_UTILISATION
            if is_hot and self._rules.is_gain(source, fastest, rate):
                cause = MoveCause.LOAD
                self._planned.move(
                    key_range.first, key_range.last, fastest, cause
                )
                return True
        return False

    def _move_load(
        self,
        source: ServerIncarnation,
        target: ServerIncarnation,
        target_rate: float,
        cause: MoveCause,
    ) -> bool:
        """Move keys of about a target rate; return whether any qualified."""
        min_rate = (
            0 if cause is MoveCause.NEW_SERVER else _MIN_MOVED_UTILISATION
        )
        min_rate *= self._view.usable[target]
        if target_rate < min_rate:
            return False
        bounds = select_keys(
            self._planned.key_map,
            self._view.load,
            source,
            target_rate,
            min_rate,
            may_divide=len(self._planned.key_map) < self._max_ranges,
        )
        if bounds is None:
            return False
        rate = self._view.load.rate(*bounds)
        is_balancing = cause is MoveCause.LOAD
        if is_balancing and not self._rules.is_gain(source, target, rate):
            return False
        self._planned.move(*bounds, target, cause)
        return True


def _max_ranges(servers: int) -> int:
    """Return the most ranges that a service may be divided into."""
    return min(
        _MAX_RANGES_PER_SERVER * servers,
        max(_MIN_RANGES_PER_SERVER * servers, _MAX_RANGES),
    )


def _even_bounds(count: int) -> list[tuple[int, int]]:
    """Return the bounds that divide all keys into equal ranges."""
    keys = MAX_KEY + 1
    starts = [number * keys // count for number in range(count + 1)]
    return [(first, following - 1) for first, following in pairwise(starts)]
