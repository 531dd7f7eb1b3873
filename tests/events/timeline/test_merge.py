"""Tests of the causal order of several logs."""

import random
from collections import Counter
from functools import partial

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from carobwalk.events import HybridClock, HybridStamp, LoggedEvent
from carobwalk.events.timeline import merge_events

WORLD = st.lists(
    st.tuples(st.integers(0, 4), st.integers(0, 30)),
    max_size=60,
)


def _naive(logs: list[list[LoggedEvent]]) -> list[LoggedEvent]:
    """Sort everything at once."""
    return sorted(
        (event for log in logs for event in log),
        key=lambda event: (event.stamp, event.process),
    )


class TestMergeEvents:
    @seed(1)
    @settings(max_examples=400, deadline=None, database=None)
    @given(WORLD, st.integers(1, 3))
    def test_like_naive(
        self,
        steps: list[tuple[int, int]],
        files: int,
    ) -> None:
        """The order is that of a sort, also of logs that processes share."""
        walls = Counter[int]()
        clocks = [
            HybridClock(partial(walls.__getitem__, here)) for here in range(5)
        ]
        logs: list[list[LoggedEvent]] = [[] for _ in range(files)]
        for here, passed in steps:
            walls[here] += passed
            stamp = clocks[here].stamp()
            logs[here % files].append(LoggedEvent(f'p{here}', stamp, 'Step'))
        assert list(merge_events(logs)) == _naive(logs)

    def test_cause_before_effect(self) -> None:
        """A receipt comes after its message, whatever the clocks show."""
        chance = random.Random(1)
        clocks = [HybridClock(partial(int, ahead)) for ahead in (900, 0, 500)]
        logs: list[list[LoggedEvent]] = [[], [], []]
        for number in range(500):
            sender, receiver = chance.sample(range(3), 2)
            sent = clocks[sender].stamp()
            logs[sender].append(
                LoggedEvent(f'p{sender}', sent, 'Sent', {'n': str(number)}),
            )
            clocks[receiver].observe(sent)
            logs[receiver].append(
                LoggedEvent(
                    f'p{receiver}',
                    clocks[receiver].stamp(),
                    'Received',
                    {'n': str(number)},
                ),
            )
        merged = list(merge_events(logs))
        places = {
            (event.name, event.fields['n']): place
            for place, event in enumerate(merged)
        }
        assert len(merged) == 1000
        for number in range(500):
            sent_place = places['Sent', str(number)]
            assert sent_place < places['Received', str(number)]

    def test_clock_set_back(self) -> None:
        """A restart under an earlier clock keeps the order of its log."""
        log = [
            LoggedEvent('a', HybridStamp(9, 0), 'Stopped'),
            LoggedEvent('a', HybridStamp(2, 0), 'Started'),
        ]
        other = [LoggedEvent('b', HybridStamp(5, 0), 'Step')]
        names = [event.name for event in merge_events([log, other])]
        assert names == ['Step', 'Stopped', 'Started']
