"""Fairness among the callers of one rank."""

from collections import OrderedDict, deque

from carobwalk.dispatch._ticket import Ticket


class CallerQueue:
    """Waiting requests of one rank, taken from its callers in turn."""

    def __init__(self) -> None:
        self._tickets_by_caller: OrderedDict[str, deque[Ticket]] = OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self._length

    def push(self, ticket: Ticket) -> None:
        """Add a request behind the others of its caller."""
        tickets = self._tickets_by_caller.setdefault(ticket.caller, deque())
        tickets.append(ticket)
        self._length += 1

    def pop(self) -> Ticket:
        """Take the oldest request of the caller whose turn it is."""
        caller, tickets = next(iter(self._tickets_by_caller.items()))
        ticket = tickets.popleft()
        self._length -= 1
        if tickets:
            self._tickets_by_caller.move_to_end(caller)
        else:
            self._tickets_by_caller.pop(caller)
        return ticket

    def clear(self) -> tuple[Ticket, ...]:
        """Take out all requests in the order of their turns."""
        return tuple(self.pop() for _ in range(self._length))

    def remove(self, ticket: Ticket) -> None:
        """Take out a request, if it waits here."""
        tickets = self._tickets_by_caller.get(ticket.caller)
        if tickets is None or ticket not in tickets:
            return
        tickets.remove(ticket)
        self._length -= 1
        if not tickets:
            self._tickets_by_caller.pop(ticket.caller)

    def push_out(self, ticket: Ticket) -> tuple[Ticket, ...]:
        """Take the newest request of the caller with most of them.

        Args:
            ticket: The request that needs the room.

        Returns:
            The request taken out; empty where the new request's caller
            itself has as many waiting as any other.
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
