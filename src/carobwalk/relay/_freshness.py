"""How old the knowledge of the store's records may become."""

import math
from dataclasses import dataclass
from typing import Final

from carobwalk.model import Clock
from carobwalk.store import FollowedRecords, WatchPeriod

# Shares of the time within which a change has to be in force.
_WATCH_SHARE: Final = 0.45
_ANSWER_SHARE: Final = 0.35
_HOLD_SHARE: Final = 0.6
_AGE_SHARE: Final = 0.8
_RENEWAL_AGE_SHARE: Final = 0.5
_KEEP_ALIVE_SHARE: Final = 0.2


@dataclass(frozen=True, slots=True)
class FreshnessTimes:
    """Times that keep knowledge younger than a limit, all in seconds.

    What remains of the limit beyond ``longest_age`` is the time to read the
    changes from the store.

    Args:
        limit: Time after which a change in the store must be in force.
    """

    limit: float = 2.0

    @property
    def watch_period(self) -> WatchPeriod:
        """Period of the watches that prove that nothing has changed."""
        return WatchPeriod(self.limit * _WATCH_SHARE, self.answer_margin)

    @property
    def answer_margin(self) -> float:
        """Time for an answer beyond that for which a question is held."""
        return self.limit * _ANSWER_SHARE

    @property
    def hold(self) -> float:
        """Longest time for which a relay waits for news before it answers."""
        return self.limit * _HOLD_SHARE

    @property
    def longest_age(self) -> float:
        """Age of the last proof from which a process reads the store itself."""
        return self.limit * _AGE_SHARE

    @property
    def keep_alive(self) -> float:
        """Interval between the renewals of a relay's lease."""
        return self.limit * _KEEP_ALIVE_SHARE

    @property
    def longest_renewal_age(self) -> float:
        """Age of the last renewal from which a relay may be cut off."""
        return self.limit * _RENEWAL_AGE_SHARE


class Freshness:
    """Age of the last proof that the known records are current.

    Args:
        clock: Clock that keeps running while the host is suspended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: list[FollowedRecords] = []

    def add(self, followed: FollowedRecords) -> None:
        """Add records whose changes have to be known in time."""
        self._records.append(followed)

    def prove(self, proved_at: float) -> None:
        """Record that all changes before a time are known."""
        for followed in self._records:
            followed.prove(proved_at)

    @property
    def proved_at(self) -> float:
        """Time up to which all changes are known, of all records."""
        return min(
            (followed.proved_at for followed in self._records),
            default=self._clock.now(),
        )

    @property
    def is_proved(self) -> bool:
        """Whether there has been a proof for all records."""
        return self.proved_at > -math.inf

    @property
    def age(self) -> float:
        """Seconds since then, infinite before the first proof."""
        return self._clock.now() - self.proved_at
