"""Bounded memory of actions that were sent."""

from collections import OrderedDict
from collections.abc import Callable

import trio

from carobwalk.dispatch._action_record import (
    ActionId,
    ActionRecord,
    KeptAnswer,
)

MOST_LEAD_SECONDS = 1

# Largest difference between the clocks of two dispatchers.
_CLOCK_SKEW_SECONDS = 1
_OPAQUE_REPEAT_SECONDS = 120


class ActionMemory:
    """Remembers actions, and up to which issue time it forgot others.

    An action that is not remembered is new only if its key was made after
    this memory began to hold all of them. Keys that do not tell when they
    were made count as new only after the longest time in which callers
    repeat them.

    Args:
        wall_clock: Returns seconds since 1970.
        limit: Most bytes of records.
        complete_since: Begin of the time of which no action was forgotten,
            in seconds since 1970.
    """

    def __init__(
        self,
        wall_clock: Callable[[], float],
        limit: int,
        complete_since: float,
    ) -> None:
        self.wall_clock = wall_clock
        self._limit = limit
        self._size = 0
        self._forgotten_until = complete_since
        self._records_by_id: OrderedDict[ActionId, ActionRecord] = OrderedDict()

    def find(self, action: ActionId) -> ActionRecord | None:
        """Return what is remembered of an action."""
        return self._records_by_id.get(action)

    def is_new(self, issued_at: float | None, since: float) -> bool:
        """Return whether an action not remembered was never sent before.

        Args:
            issued_at: When its key was made, if the key tells; not in the
                future.
            since: When the tenure of its shard began.
        """
        complete_since = max(since, self._forgotten_until)
        if issued_at is None:
            return self.wall_clock() > complete_since + _OPAQUE_REPEAT_SECONDS
        return issued_at > complete_since + _CLOCK_SKEW_SECONDS

    def has_room(self) -> bool:
        """Make room for one more record; return whether there is some."""
        while self._size >= self._limit:
            if not self._forget_oldest():
                return False
        return True

    def begin(self, action: ActionId, record: ActionRecord) -> None:
        """Remember an action that is about to be sent."""
        self._records_by_id[action] = record
        self._size += record.size

    def settle(self, action: ActionId, answer: KeptAnswer | None) -> None:
        """Note the end of an action that may have run.

        Args:
            action: The action.
            answer: Its whole answer, if it was answered.
        """
        record = self._records_by_id[action]
        self._size -= record.size
        record.answer = answer
        self._size += record.size
        self._records_by_id.move_to_end(action)
        record.ended.set()
        self.has_room()

    def ended(self, action: ActionId) -> trio.Event:
        """Return the event that is set when a begun action has ended."""
        return self._records_by_id[action].ended

    def drop(self, action: ActionId) -> None:
        """Forget an action that did not run."""
        record = self._records_by_id.pop(action)
        self._size -= record.size
        record.ended.set()

    def _forget_oldest(self) -> bool:
        for action, record in self._records_by_id.items():
            if record.ended.is_set():
                self._forget(action, record)
                return True
        return False

    def _forget(self, action: ActionId, record: ActionRecord) -> None:
        self._records_by_id.pop(action)
        self._size -= record.size
        issued_at = record.issued_at or self.wall_clock()
        self._forgotten_until = max(self._forgotten_until, issued_at)
