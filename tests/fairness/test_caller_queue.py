"""Queue that is served round robin by caller."""

from dataclasses import dataclass

from carobwalk.fairness import CallerQueue


@dataclass(frozen=True)
class _Entry:
    caller: str
    order: float = 0


class TestCallerQueue:
    def test_arrival(self) -> None:
        """Without an order, requests of a caller are served by arrival."""
        queue: CallerQueue[_Entry] = CallerQueue()
        entries = [_Entry('a', 3), _Entry('a', 1), _Entry('b', 2)]
        for entry in entries:
            queue.push(entry)
        assert queue.clear() == (entries[0], entries[2], entries[1])

    def test_order(self) -> None:
        """With an order, requests of a caller are served by it."""
        queue: CallerQueue[_Entry] = CallerQueue(lambda entry: entry.order)
        for order in (3, 1, 2):
            queue.push(_Entry('a', order))
        assert [entry.order for entry in queue.clear()] == [1, 2, 3]

    def test_condition(self) -> None:
        """A request that may not start doesn't block those behind it."""
        queue: CallerQueue[_Entry] = CallerQueue()
        for order in (1, 2):
            queue.push(_Entry('a', order))
        queue.push(_Entry('b', 1))
        assert queue.pop_if(lambda entry: entry.order == 2) == _Entry('a', 2)
        assert queue.pop_if(lambda entry: entry.order == 3) is None
        assert len(queue) == 2
