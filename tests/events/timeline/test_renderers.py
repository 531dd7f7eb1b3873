"""Tests of the renderers of a time line."""

import json
from itertools import combinations
from xml.etree import ElementTree as Tree

import pytest

from carobwalk.events import HybridStamp, LoggedEvent
from carobwalk.events.timeline import render, renderer_names
from carobwalk.events.timeline._layout import compute_layout
from carobwalk.events.timeline._ticks import ticks_of

SVG = '{http://www.w3.org/2000/svg}'
START = 1_700_000_000_000_000
UNSAFE_TEXT = '<b>&\x00\x1b\ud800đ"'


def _events(count: int) -> list[LoggedEvent]:
    return [
        LoggedEvent(
            f'entry-{index % 3}',
            HybridStamp(START + index * 1000, 0),
            f'Kind{index % 11}',
            {'request': f'r{index // 4}', 'key': UNSAFE_TEXT},
        )
        for index in range(count)
    ]


class TestRender:
    @pytest.mark.parametrize('name', renderer_names())
    @pytest.mark.parametrize('count', [0, 1, 30, 900])
    def test_unsafe_text(self, name: str, count: int) -> None:
        """Each format encodes as UTF-8 and has no raw control characters."""
        text = render(name, _events(count))
        assert text.encode('utf-8').isascii() or 'đ' in text
        assert '\x00' not in text
        assert '\x1b' not in text
        assert '<b>' not in text or name in {'text', 'json'}

    def test_text(self) -> None:
        """The text shows time, process, name and fields of each event."""
        lines = render('text', _events(5)).split('\n')
        assert len(lines) == 5
        assert lines[1].startswith(
            '2023-11-14T22:13:20.001000Z/0 entry-1 Kind1 request=r0 key=<b>',
        )

    def test_json(self) -> None:
        """The JSON document holds every event with its fields unchanged."""
        events = json.loads(render('json', _events(5)))['events']
        assert [event['event'] for event in events] == [
            f'Kind{index}' for index in range(5)
        ]
        assert events[0]['fields']['key'] == UNSAFE_TEXT


class TestSvg:
    def test_lanes_and_events(self) -> None:
        """The picture has a lane for each process and a mark for each event."""
        root = Tree.fromstring(render('svg', _events(30)))
        labels = [element.text for element in root.iter(f'{SVG}text')]
        assert {'entry-0', 'entry-1', 'entry-2'} <= set(labels)
        titles = [element.text or '' for element in root.iter(f'{SVG}title')]
        assert len(titles) == 30
        assert len(root.findall(f'{SVG}rect')) == 4

    def test_legend_is_unambiguous(self) -> None:
        """Kinds of events have different marks in the legend."""
        root = Tree.fromstring(render('svg', _events(30)))
        legend = root.findall(f'{SVG}path')
        appearances = {(mark.get('d'), mark.get('fill')) for mark in legend}
        assert len(legend) == len(appearances) == 11

    def test_requests(self) -> None:
        """Events of one request in two processes are connected."""
        root = Tree.fromstring(render('svg', _events(30)))
        lines = root.findall(f'{SVG}line')
        connections = [
            line for line in lines if line.get('stroke-width') == '1'
        ]
        assert len(connections) == 22

    def test_labels_do_not_overlap(self) -> None:
        """Labels within a lane do not overlap and stay in the picture."""
        layout = compute_layout(_events(60))
        lanes = {lane.process: lane for lane in layout.lanes}
        for group in layout.groups:
            lane = lanes[group.process]
            assert lane.top < group.top < lane.bottom
            assert group.left + 10 + 6 * len(group.label) < 1600
        for first, second in combinations(layout.groups, 2):
            if first.top == second.top:
                gap = abs(first.left - second.left)
                assert gap >= 10 + 6 * len(first.label)

    def test_labels_omitted(self) -> None:
        """Marks have no names if there are more than 400."""
        layout = compute_layout(_events(900))
        assert len(layout.groups) > 400
        assert not any('Kind' in group.label for group in layout.groups)

    def test_grouped_events(self) -> None:
        """Events of one name at one time share a mark that counts them."""
        close_events = [
            LoggedEvent('a', HybridStamp(START, index), 'Moved', {'n': 'x'})
            for index in range(30)
        ]
        later_event = LoggedEvent('a', HybridStamp(START + 10**6, 0), 'Moved')
        layout = compute_layout([*close_events, later_event])
        labels = [group.label for group in layout.groups]
        assert labels == ['Moved (30)', 'Moved']
        root = Tree.fromstring(render('svg', [*close_events, later_event]))
        titles = [element.text or '' for element in root.iter(f'{SVG}title')]
        lines = titles[0].split('\n')
        assert len(lines) == 21
        assert lines[-1] == 'and 10 more'

    def test_each_event_once(self) -> None:
        """Every event is in exactly the group at its index."""
        events = _events(500)
        layout = compute_layout(events)
        for event, index in zip(events, layout.group_indexes, strict=True):
            assert event in layout.groups[index].events
        total = sum(len(group.events) for group in layout.groups)
        assert total == len(events)

    @pytest.mark.parametrize('duration', [1e-6, 0.004, 1, 7.3, 61, 86_400])
    def test_ticks(self, duration: float) -> None:
        """The axis has 6 to 13 round times."""
        ticks = ticks_of(duration)
        assert 6 <= len(ticks) <= 13
        assert ticks[-1] <= duration
