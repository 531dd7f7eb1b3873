"""Tests of the hybrid logical clock."""

import random
from itertools import pairwise

from result import Err, Ok

from carobwalk.events import ClockDrift, HybridClock, HybridStamp

HOUR = 3_600_000_000


class _Wall:
    """Wall clock that a test moves."""

    def __init__(self, microseconds: int) -> None:
        self.microseconds = microseconds

    def __call__(self) -> int:
        return self.microseconds


class TestHybridClock:
    def test_follows_wall(self) -> None:
        """A stamp shows the wall time where that has moved on."""
        wall = _Wall(5)
        clock = HybridClock(wall)
        assert clock.stamp() == HybridStamp(5, 0)
        wall.microseconds = 9
        assert clock.stamp() == HybridStamp(9, 0)

    def test_wall_steps_back(self) -> None:
        """Stamps rise while the wall clock stands or steps back."""
        wall = _Wall(5)
        clock = HybridClock(wall)
        first = clock.stamp()
        wall.microseconds = 1
        assert [first, clock.stamp(), clock.stamp()] == [
            HybridStamp(5, 0),
            HybridStamp(5, 1),
            HybridStamp(5, 2),
        ]

    def test_observe(self) -> None:
        """A stamp after a message is larger than that of the message."""
        clock = HybridClock(_Wall(5))
        assert clock.observe(HybridStamp(7, 3)) == Ok(None)
        assert clock.stamp() == HybridStamp(7, 4)

    def test_old_stamp(self) -> None:
        """A stamp of the past changes nothing."""
        clock = HybridClock(_Wall(5))
        clock.stamp()
        clock.observe(HybridStamp(4, 9))
        assert clock.stamp() == HybridStamp(5, 1)

    def test_wrong_clock(self) -> None:
        """A stamp more than an hour ahead is refused and ignored."""
        clock = HybridClock(_Wall(0))
        outcome = clock.observe(HybridStamp(2 * HOUR, 0))
        assert outcome == Err(ClockDrift(7200.0))
        assert clock.stamp() == HybridStamp(0, 1)

    def test_causal_order(self) -> None:
        """Stamps rise along every chain of messages between skewed hosts."""
        chance = random.Random(1)
        walls = [_Wall(chance.randrange(HOUR)) for _ in range(6)]
        clocks = [HybridClock(wall) for wall in walls]
        chains: list[list[HybridStamp]] = [[] for _ in clocks]
        on_the_way: list[tuple[int, HybridStamp]] = []
        receipts = 0
        for _ in range(20_000):
            here = chance.randrange(len(clocks))
            walls[here].microseconds += chance.choice((-50, 0, 0, 1, 90))
            if on_the_way and chance.randrange(2):
                late = chance.randrange(len(on_the_way))
                here, sent = on_the_way.pop(late)
                assert clocks[here].observe(sent) == Ok(None)
                received = clocks[here].stamp()
                assert received > sent
                chains[here].append(received)
                receipts += 1
                continue
            sent = clocks[here].stamp()
            chains[here].append(sent)
            on_the_way.append((chance.randrange(len(clocks)), sent))
        for chain in chains:
            assert all(early < late for early, late in pairwise(chain))
        assert receipts > 5000
