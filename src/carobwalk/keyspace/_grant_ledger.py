"""Until when lives of backend servers may hold keys."""

import math
from collections import Counter
from dataclasses import dataclass

import msgspec

from carobwalk.keyspace._key_range import ServerLife
from carobwalk.keyspace._times import KeyTimes
from carobwalk.model import Clock, ServerId


@dataclass(frozen=True, slots=True, kw_only=True)
class Inherited:
    """Bounds on the grants that earlier coordinators sent.

    Args:
        holds: Seconds until the last of them is over.
        unanswered: Seconds until the last unanswered one of them is over.
    """

    holds: float
    unanswered: float


class LifeBounds(msgspec.Struct, array_like=True, frozen=True):
    """Bounds on the grants that one life got.

    Args:
        server: Server of the life.
        born: Start of the life.
        holds: Seconds until the last of them is over.
        unanswered: Seconds until the last unanswered one of them is over.
    """

    server: str
    born: int
    holds: float
    unanswered: float


class LedgerState(msgspec.Struct, frozen=True):
    """Bounds on all grants of a term, as its successor learns them.

    Args:
        holds: Seconds until what the term itself inherited is over.
        unanswered: Seconds until the unanswered part of that is over.
        lives: Bounds by life, for those that got grants in the term.
    """

    holds: float
    unanswered: float
    lives: tuple[LifeBounds, ...]


class GrantLedger:
    """Bounds on the ends of all grants that were sent.

    A grant that was answered ends with a release that is answered. One that
    was not answered may be applied later, also after a release; it counts
    from its arrival all the same.

    Args:
        times: Times of grants.
        clock: Clock that runs on while the host is suspended.
        inherited: Grants that other coordinators sent.
    """

    def __init__(
        self,
        times: KeyTimes,
        clock: Clock,
        inherited: Inherited,
    ) -> None:
        self._times = times
        self._clock = clock
        self._inherited_until = clock.now() + inherited.holds
        self._inherited_unanswered = clock.now() + inherited.unanswered
        self._ends_by_life: dict[ServerLife, float] = {}
        self._unanswered_by_life: dict[ServerLife, float] = {}
        self._in_flight: Counter[ServerLife] = Counter()

    def sending(self, life: ServerLife, hold: float) -> float:
        """Take in that a grant is about to be sent.

        Returns:
            The bound before it, for ``retract``.
        """
        times = self._times
        latest_arrival = times.order_timeout + times.arrival_slack
        end = self._clock.now() + latest_arrival + times.latest_end(hold)
        known = self._ends_by_life.get(life, -math.inf)
        self._ends_by_life[life] = max(known, end)
        self._in_flight[life] += 1
        return known

    def answered(self, life: ServerLife) -> None:
        """Take in that a grant just got its answer."""
        self._in_flight[life] -= 1

    def retract(self, life: ServerLife, bound: float) -> None:
        """Take in that nothing of the last grant was sent."""
        self._ends_by_life[life] = bound
        self._in_flight[life] -= 1

    def unanswered(self, life: ServerLife, hold: float) -> None:
        """Take in that a grant just got no answer."""
        times = self._times
        self._in_flight[life] -= 1
        end = self._clock.now() + times.arrival_slack + times.latest_end(hold)
        known = self._unanswered_by_life.get(life, -math.inf)
        self._unanswered_by_life[life] = max(known, end)

    def holds_until(self, life: ServerLife) -> float:
        """Return when a life holds nothing any more if it gets nothing."""
        return max(
            self._ends_by_life.get(life, -math.inf),
            self._inherited_until,
        )

    def free_after_release(self, life: ServerLife) -> float:
        """Return from when on an answered release is certain."""
        return max(
            self._unanswered_by_life.get(life, -math.inf),
            self._inherited_unanswered,
        )

    def state(self) -> LedgerState:
        """Return what a successor has to wait for."""
        now = self._clock.now()
        rows = []
        for life, end in self._ends_by_life.items():
            unanswered = self._unanswered_by_life.get(life, -math.inf)
            if self._in_flight[life]:
                unanswered = end
            row = LifeBounds(
                life.server,
                life.born,
                max(end - now, 0),
                max(unanswered - now, 0),
            )
            if row.holds:
                rows.append(row)
        return LedgerState(
            max(self._inherited_until - now, 0),
            max(self._inherited_unanswered - now, 0),
            tuple(rows),
        )

    def inherit(self, state: LedgerState) -> None:
        """Take exact bounds for the inherited grants.

        Args:
            state: The predecessor's bounds, counted from now.
        """
        now = self._clock.now()
        self._inherited_until = min(self._inherited_until, now + state.holds)
        self._inherited_unanswered = min(
            self._inherited_unanswered,
            now + state.unanswered,
        )
        for row in state.lives:
            life = ServerLife(ServerId(row.server), row.born)
            _raise_to(self._ends_by_life, life, now + row.holds)
            _raise_to(self._unanswered_by_life, life, now + row.unanswered)

    @property
    def is_settled(self) -> bool:
        """Whether no grant is left that was not answered."""
        latest = max(
            self._unanswered_by_life.values(),
            default=self._inherited_unanswered,
        )
        return max(latest, self._inherited_unanswered) <= self._clock.now()


def _raise_to(
    ends_by_life: dict[ServerLife, float],
    life: ServerLife,
    end: float,
) -> None:
    ends_by_life[life] = max(ends_by_life.get(life, -math.inf), end)
