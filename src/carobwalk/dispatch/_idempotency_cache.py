"""Size-bounded cache of actions and their responses."""

from collections import OrderedDict
from collections.abc import Callable

import trio

from carobwalk.dispatch._action_record import (
    ActionId,
    ActionRecord,
    StoredResponse,
)

# A key with a timestamp further in the future is rejected; a smaller lead is
# waited out.
MAX_CLOCK_LEAD_SECONDS = 1

# Maximum clock skew between two dispatchers.
_CLOCK_SKEW_SECONDS = 1
# Longest period in which callers repeat a request with an opaque key.
_OPAQUE_REPEAT_SECONDS = 120


class IdempotencyCache:
    """Caches actions by idempotency key and tracks what it has evicted.

    An action that is not cached is known to be new only if its key was
    generated after the point from which the cache is complete. A key without
    a timestamp counts as new only once the cache has been complete for the
    longest period in which callers repeat a request.

    Args:
        wall_clock: Returns seconds since 1970.
        limit: Maximum total size of the records, in bytes.
        complete_since: Time since which no action has been evicted, in
            seconds since 1970.
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
        self._evicted_until = complete_since
        self._records_by_id: OrderedDict[ActionId, ActionRecord] = OrderedDict()

    def find(self, action: ActionId) -> ActionRecord | None:
        """Return the record of an action, if it is cached."""
        return self._records_by_id.get(action)

    def is_new(self, issued_at: float | None, since: float) -> bool:
        """Return whether an action that is not cached was never sent before.

        Args:
            issued_at: When its key was generated, in seconds since 1970 and
                not in the future; ``None`` if the key has no timestamp.
            since: Since when this process has held the lease and grant of
                its shard, in seconds since 1970.
        """
        complete_since = max(since, self._evicted_until)
        if issued_at is None:
            return self.wall_clock() > complete_since + _OPAQUE_REPEAT_SECONDS
        return issued_at > complete_since + _CLOCK_SKEW_SECONDS

    def evict_if_full(self) -> bool:
        """Evict finished actions until the cache is below its limit.

        Returns:
            Whether one more record may be added. Running actions are never
            evicted.
        """
        while self._size >= self._limit:
            if not self._evict_oldest():
                return False
        return True

    def add(self, action: ActionId, record: ActionRecord) -> None:
        """Add an action that is about to be sent."""
        self._records_by_id[action] = record
        self._size += record.size

    def finish(self, action: ActionId, response: StoredResponse | None) -> None:
        """Mark an action that may have run as finished.

        Args:
            action: The action.
            response: Its complete response; ``None`` if there was none.
        """
        record = self._records_by_id[action]
        self._size -= record.size
        record.response = response
        self._size += record.size
        self._records_by_id.move_to_end(action)
        record.ended.set()
        self.evict_if_full()

    def ended(self, action: ActionId) -> trio.Event:
        """Return the event that is set when a cached action has finished."""
        return self._records_by_id[action].ended

    def discard(self, action: ActionId) -> None:
        """Remove an action that did not run, so that it may be sent again."""
        record = self._records_by_id.pop(action)
        self._size -= record.size
        record.ended.set()

    def _evict_oldest(self) -> bool:
        for action, record in self._records_by_id.items():
            if record.ended.is_set():
                self._evict(action, record)
                return True
        return False

    def _evict(self, action: ActionId, record: ActionRecord) -> None:
        self._records_by_id.pop(action)
        self._size -= record.size
        issued_at = record.issued_at or self.wall_clock()
        self._evicted_until = max(self._evicted_until, issued_at)
