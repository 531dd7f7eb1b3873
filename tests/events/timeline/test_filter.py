"""Tests of the event filter."""

import pytest

from carobwalk.events import HybridStamp, LoggedEvent
from carobwalk.events.timeline import EventFilter


def _event(index: int, name: str, **fields: str) -> LoggedEvent:
    return LoggedEvent(f'p{index % 2}', HybridStamp(index, 0), name, fields)


EVENTS = (
    _event(0, 'Accepted', request='r1', key='k1'),
    _event(1, 'Started', request='r1', server='s1'),
    _event(2, 'Accepted', request='r2', key='k2'),
    _event(3, 'Started', request='r2', server='s2'),
    _event(4, 'Elected', group='g'),
)


class TestEventFilter:
    @pytest.mark.parametrize(
        ('event_filter', 'indexes'),
        [
            (EventFilter(), [0, 1, 2, 3, 4]),
            (EventFilter(names=frozenset(('Accepted',))), [0, 2]),
            (EventFilter(processes=frozenset(('p0',))), [0, 2, 4]),
            (EventFilter(values_by_field={'key': frozenset(('k1',))}), [0]),
            (
                EventFilter(
                    values_by_field={'key': frozenset(('k1',))},
                    follow_requests=True,
                ),
                [0, 1],
            ),
            (
                EventFilter(
                    names=frozenset(('Started',)),
                    values_by_field={'server': frozenset(('s1', 's2'))},
                ),
                [1, 3],
            ),
            (
                EventFilter(
                    names=frozenset(('Elected',)),
                    follow_requests=True,
                ),
                [4],
            ),
            (EventFilter(values_by_field={'key': frozenset(('k9',))}), []),
        ],
    )
    def test_select(
        self, event_filter: EventFilter, indexes: list[int]
    ) -> None:
        """Events that match all criteria are selected in their order."""
        selected = event_filter.select(EVENTS)
        assert selected == [EVENTS[index] for index in indexes]
