"""Until when lives of backend servers may hold keys."""

import math
from dataclasses import dataclass

from carobwalk.keyspace._key_range import ServerLife
from carobwalk.keyspace._times import KeyTimes
from carobwalk.model import Clock


@dataclass(frozen=True, slots=True, kw_only=True)
class Inherited:
    """Bounds on the grants that earlier coordinators sent.

    Args:
        holds: Seconds until the last of them is over.
        unanswered: Seconds until the last unanswered one of them is over.
    """

    holds: float
    unanswered: float


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
        return known

    def retract(self, life: ServerLife, bound: float) -> None:
        """Take in that nothing of the last grant was sent."""
        self._ends_by_life[life] = bound

    def unanswered(self, life: ServerLife, hold: float) -> None:
        """Take in that a grant just got no answer."""
        times = self._times
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

    @property
    def is_settled(self) -> bool:
        """Whether no grant is left that was not answered."""
        latest = max(
            self._unanswered_by_life.values(),
            default=self._inherited_unanswered,
        )
        return max(latest, self._inherited_unanswered) <= self._clock.now()
