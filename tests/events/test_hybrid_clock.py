"""Tests of the hybrid logical clock."""

import random
from itertools import pairwise

from result import Err, Ok

from carobwalk.events import ClockDrift, HybridClock, HybridStamp

HOUR_MICROSECONDS = 3_600_000_000


class _ManualWallClock:
    """Wall clock that a test sets."""

    def __init__(self, microseconds: int) -> None:
        self.microseconds = microseconds

    def __call__(self) -> int:
        return self.microseconds


class TestHybridClock:
    def test_follows_wall(self) -> None:
        """A stamp takes the wall time when it has advanced."""
        wall = _ManualWallClock(5)
        clock = HybridClock(wall)
        assert clock.stamp() == HybridStamp(5, 0)
        wall.microseconds = 9
        assert clock.stamp() == HybridStamp(9, 0)

    def test_wall_steps_back(self) -> None:
        """Stamps increase while the wall clock stands still or steps back."""
        wall = _ManualWallClock(5)
        clock = HybridClock(wall)
        first = clock.stamp()
        wall.microseconds = 1
        assert [first, clock.stamp(), clock.stamp()] == [
            HybridStamp(5, 0),
            HybridStamp(5, 1),
            HybridStamp(5, 2),
        ]

    def test_observe(self) -> None:
        """A stamp after a received message is larger than the message's."""
        clock = HybridClock(_ManualWallClock(5))
        assert clock.observe(HybridStamp(7, 3)) == Ok(None)
        assert clock.stamp() == HybridStamp(7, 4)

    def test_old_stamp(self) -> None:
        """Observing an older stamp does not change the clock."""
        clock = HybridClock(_ManualWallClock(5))
        clock.stamp()
        clock.observe(HybridStamp(4, 9))
        assert clock.stamp() == HybridStamp(5, 1)

    def test_wrong_clock(self) -> None:
        """A stamp more than an hour ahead is refused and ignored."""
        clock = HybridClock(_ManualWallClock(0))
        outcome = clock.observe(HybridStamp(2 * HOUR_MICROSECONDS, 0))
        assert outcome == Err(ClockDrift(7200.0))
        assert clock.stamp() == HybridStamp(0, 1)

    def test_causal_order(self) -> None:
        """Stamps increase along each chain of messages between skewed hosts."""
        rng = random.Random(1)
        walls = [
            _ManualWallClock(rng.randrange(HOUR_MICROSECONDS)) for _ in range(6)
        ]
        clocks = [HybridClock(wall) for wall in walls]
        chains: list[list[HybridStamp]] = [[] for _ in clocks]
        in_transit: list[tuple[int, HybridStamp]] = []
        receipt_count = 0
        for _ in range(20_000):
            index = rng.randrange(len(clocks))
            walls[index].microseconds += rng.choice((-50, 0, 0, 1, 90))
            if in_transit and rng.randrange(2):
                late = rng.randrange(len(in_transit))
                index, sent = in_transit.pop(late)
                assert clocks[index].observe(sent) == Ok(None)
                received = clocks[index].stamp()
                assert received > sent
                chains[index].append(received)
                receipt_count += 1
                continue
            sent = clocks[index].stamp()
            chains[index].append(sent)
            in_transit.append((rng.randrange(len(clocks)), sent))
        for chain in chains:
            assert all(early < late for early, late in pairwise(chain))
        assert receipt_count > 5000
