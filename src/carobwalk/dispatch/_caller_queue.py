"""Fair queueing among the callers of one rank."""

from collections import OrderedDict, deque

from carobwalk.dispatch._ticket import Ticket


class CallerQueue:
    """Waiting requests of one rank, served round robin by caller."""

    def __init__(self) -> None:
        self._tickets_by_caller: OrderedDict[str, deque[Ticket]] = OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def push(self, ticket: Ticket) -> None:
        """Append a request to the queue of its caller."""
        tickets = self._tickets_by_caller.setdefault(ticket.caller, deque())
        tickets.append(ticket)
        self._length += 1

    def pop(self) -> Ticket:
        """Remove and return the oldest request of the next caller."""
        caller, tickets = next(iter(self._tickets_by_caller.items()))
        ticket = tickets.popleft()
        self._length -= 1
        if tickets:
            self._tickets_by_caller.move_to_end(caller)
        else:
            self._tickets_by_caller.pop(caller)
        return ticket

    def clear(self) -> tuple[Ticket, ...]:
        """Remove and return all requests in the order they would start."""
        return tuple(self.pop() for _ in range(self._length))

    def remove(self, ticket: Ticket) -> None:
        """Remove a request, if it is queued."""
        tickets = self._tickets_by_caller.get(ticket.caller)
        if tickets is None or ticket not in tickets:
            return
        tickets.remove(ticket)
        self._length -= 1
        if not tickets:
            self._tickets_by_caller.pop(ticket.caller)

    def evict(self, ticket: Ticket) -> tuple[Ticket, ...]:
        """Evict the newest request of the caller with the longest queue.

        Args:
            ticket: The new request that needs the space.

        Returns:
            The evicted request; empty if evicting it would only shift the
            longest queue to the caller of the new request.
        """
        waiting = self._tickets_by_caller
        if not waiting:
            return ()
        longest = max(waiting.values(), key=len)
        own = waiting.get(ticket.caller, ())
        if len(longest) <= len(own) + 1:
            return ()
        victim = longest[-1]
        self.remove(victim)
        return (victim,)
