"""Moves of keys when capacities follow the observed speeds."""

from dataclasses import replace

from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import MAX_KEY, KeyRange
from carobwalk.keyspace._planned_map import PlannedMap
from carobwalk.keyspace._planner import Planner, PlannerView
from carobwalk.keyspace._speed_rules import SpeedRules
from tests.keyspace.simulated_fleet import make_server

HOT_KEY = 100
OWNER, OTHER = (make_server(number).incarnation for number in range(2))
SEEN_SECONDS = 30


def _view(capacity: float, other_rate: int) -> PlannerView:
    """Return a view of an owner of a hot key and other keys."""
    bounds = (
        (0, HOT_KEY - 1, OWNER),
        (HOT_KEY, HOT_KEY, OWNER),
        (HOT_KEY + 1, MAX_KEY, OTHER),
    )
    key_map = KeyMap(
        tuple(
            KeyRange(
                first=first, last=last, owner=owner, fence=1, is_granted=True
            )
            for first, last, owner in bounds
        )
    )
    load = KeyLoad(0)
    for second in range(SEEN_SECONDS):
        load.add(((HOT_KEY, 60), (50, other_rate)))
        load.refresh(second)
    return PlannerView(
        key_map=key_map,
        usable={OWNER: 100, OTHER: capacity},
        movable=frozenset((OWNER, OTHER)),
        leaving=frozenset(),
        load=load,
        by_speed=True,
    )


class TestSpeedRules:
    def test_other_keys_move_first(self) -> None:
        """The owner of a hot key is relieved of its other keys.

        Guards against moves of the hot key, whose requests wait meanwhile.
        """
        moves = Planner(_view(100, 40)).plan()
        assert moves
        assert moves[0].owner == OTHER
        assert (moves[0].first, moves[0].last) == (0, HOT_KEY - 1)
        assert all(not one.first <= HOT_KEY <= one.last for one in moves)

    def test_no_gain(self) -> None:
        """Keys stay where a move would only exchange the busiest server."""
        for capacity, is_gain in ((20, False), (100, True)):
            view = _view(capacity, 40)
            planned = PlannedMap(view.key_map, view.usable, view.load)
            rules = SpeedRules(planned, view.usable, is_active=True)
            assert rules.is_gain(OWNER, OTHER, 40) == is_gain

    def test_off(self) -> None:
        """Without estimates of speed, moves are planned as before."""
        view = replace(_view(100, 40), by_speed=False)
        assert Planner(view).plan() != Planner(_view(100, 40)).plan()
