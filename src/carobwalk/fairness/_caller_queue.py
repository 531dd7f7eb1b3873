"""Fair queueing among callers."""

from bisect import insort
from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar


class QueuedByCaller(Protocol):
    """Request that waits in a ``CallerQueue``."""

    @property
    def caller(self) -> str:
        """Name of the caller."""


Entry = TypeVar('Entry', bound=QueuedByCaller)


class CallerQueue(Generic[Entry]):
    """Waiting requests, served round robin by caller.

    Args:
        order: Returns the key by which requests of one caller are ordered;
            without it they are served by arrival.
    """

    def __init__(self, order: Callable[[Entry], float] | None = None) -> None:
        self._order = order
        self._entries_by_caller: OrderedDict[str, list[Entry]] = OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over the waiting requests, by caller."""
        for entries in self._entries_by_caller.values():
            yield from entries

    def push(self, entry: Entry) -> None:
        """Add a request to the queue of its caller."""
        entries = self._entries_by_caller.setdefault(entry.caller, [])
        if self._order is None:
            entries.append(entry)
        else:
            insort(entries, entry, key=self._order)
        self._length += 1

    def pop(self) -> Entry:
        """Remove and return the first request of the next caller."""
        return self._take(next(iter(self._entries_by_caller.values()))[0])

    def pop_if(self, may_start: Callable[[Entry], bool]) -> Entry | None:
        """Remove and return the next request that meets a condition."""
        entry = next(filter(may_start, self), None)
        return None if entry is None else self._take(entry)

    def clear(self) -> tuple[Entry, ...]:
        """Remove and return all requests in the order they would start."""
        return tuple(self.pop() for _ in range(self._length))

    def remove(self, entry: Entry) -> None:
        """Remove a request, if it is queued."""
        entries = self._entries_by_caller.get(entry.caller)
        if entries is None or entry not in entries:
            return
        entries.remove(entry)
        self._length -= 1
        if not entries:
            self._entries_by_caller.pop(entry.caller)

    def evict(self, entry: Entry) -> tuple[Entry, ...]:
        """Evict the last request of the caller with the longest queue.

        Args:
            entry: The new request that needs the space.

        Returns:
            The evicted request; empty if evicting it would only shift the
            longest queue to the caller of the new request.
        """
        waiting = self._entries_by_caller
        if not waiting:
            return ()
        longest = max(waiting.values(), key=len)
        own = waiting.get(entry.caller, ())
        if len(longest) <= len(own) + 1:
            return ()
        victim = longest[-1]
        self.remove(victim)
        return (victim,)

    def _take(self, entry: Entry) -> Entry:
        """Remove a request; its caller is the last to be served again."""
        self.remove(entry)
        if entry.caller in self._entries_by_caller:
            self._entries_by_caller.move_to_end(entry.caller)
        return entry
