"""Tests of merging logs into causal order."""

import random
from collections import Counter
from functools import partial

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from carobwalk.events import HybridClock, HybridStamp, LoggedEvent
from carobwalk.events.timeline import merge_events

STEPS = st.lists(
    st.tuples(st.integers(0, 4), st.integers(0, 30)),
    max_size=60,
)


def _sorted_events(logs: list[list[LoggedEvent]]) -> list[LoggedEvent]:
    """Sort the events of all logs at once."""
    return sorted(
        (event for log in logs for event in log),
        key=lambda event: (event.stamp, event.process),
    )


class TestMergeEvents:
    @seed(1)
    @settings(max_examples=400, deadline=None, database=None)
    @given(STEPS, st.integers(1, 3))
    def test_equals_sort(
        self,
        steps: list[tuple[int, int]],
        file_count: int,
    ) -> None:
        """The order equals that of a sort, also if processes share a log."""
        walls = Counter[int]()
        clocks = [
            HybridClock(partial(walls.__getitem__, index)) for index in range(5)
        ]
        logs: list[list[LoggedEvent]] = [[] for _ in range(file_count)]
        for index, elapsed in steps:
            walls[index] += elapsed
            stamp = clocks[index].stamp()
            logs[index % file_count].append(
                LoggedEvent(f'p{index}', stamp, 'Step')
            )
        assert list(merge_events(logs)) == _sorted_events(logs)

    def test_cause_before_effect(self) -> None:
        """A receipt follows the sending, whatever the wall clocks show."""
        rng = random.Random(1)
        clocks = [HybridClock(partial(int, offset)) for offset in (900, 0, 500)]
        logs: list[list[LoggedEvent]] = [[], [], []]
        for number in range(500):
            sender, receiver = rng.sample(range(3), 2)
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
        positions = {
            (event.name, event.fields['n']): position
            for position, event in enumerate(merged)
        }
        assert len(merged) == 1000
        for number in range(500):
            sent_position = positions['Sent', str(number)]
            assert sent_position < positions['Received', str(number)]

    def test_clock_set_back(self) -> None:
        """A log keeps its order if the clock was set back at a restart."""
        log = [
            LoggedEvent('a', HybridStamp(9, 0), 'Stopped'),
            LoggedEvent('a', HybridStamp(2, 0), 'Started'),
        ]
        other = [LoggedEvent('b', HybridStamp(5, 0), 'Step')]
        names = [event.name for event in merge_events([log, other])]
        assert names == ['Step', 'Stopped', 'Started']
