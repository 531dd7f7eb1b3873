"""Coordinator workload when many ranges move at the same time."""

import trio
from trio.testing import MockClock

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._planned_map import PlannedMap
from carobwalk.keyspace._planner import Planner, PlannerView
from tests.keyspace.simulated_fleet import SimulatedFleet
from tests.keyspace.test_planner import Load, divide, make_incarnations


class CountingMap(KeyMap):
    """Key map that counts its instances."""

    made = 0

    def __init__(self, *arguments) -> None:
        CountingMap.made += 1
        super().__init__(*arguments)


def test_work_grows_with_moves(
    virtual_clock: MockClock,
    monkeypatch,
) -> None:
    """The coordinator builds few maps for each range that moves.

    Guards against rebuilding all grants for each move and publication, which
    blocked callers of the coordinating process for seconds.
    """
    for module in ('_key_map', '_codec', '_service_coordinator'):
        name = f'carobwalk.keyspace.{module}.KeyMap'
        monkeypatch.setattr(name, CountingMap)

    async def body() -> None:
        fleet = SimulatedFleet(40)
        async with trio.open_nursery() as nursery:
            fleet.start(nursery)
            router = fleet.add_router('a')
            await fleet.wait_until_owned()
            await trio.sleep(1)
            publish = router.feed.publish
            published = []

            def count(*arguments) -> None:
                published.append(arguments)
                publish(*arguments)

            router.feed.publish = count
            CountingMap.made = 0
            before = fleet.book.grants
            for number in range(20):
                fleet.leave(number)
            await trio.sleep(0.3)
            moved = len(router.log.named('KeysGranted')) - 40
            assert moved >= 20
            assert fleet.book.grants > before
            assert len(published) <= moved / 10
            assert CountingMap.made <= 2 * moved
            nursery.cancel_scope.cancel()

    trio.run(body, clock=virtual_clock)


def test_planning_even_load_is_linear(monkeypatch) -> None:
    """Planning an even load evaluates each server a few times, not all pairs.

    Guards against quadratic work: with a hundred servers under an even load
    one plan used to cost more than all renewals of their grants.
    """
    incarnations = make_incarnations(300)
    key_map = divide(incarnations)
    load = Load(1)
    load.run(1, 30_000, range(1), 0)
    evaluations = 0
    utilisation = PlannedMap.utilisation

    def count(planned: PlannedMap, incarnation: ServerIncarnation) -> float:
        nonlocal evaluations
        evaluations += 1
        return utilisation(planned, incarnation)

    monkeypatch.setattr(PlannedMap, 'utilisation', count)
    view = PlannerView(
        key_map=key_map,
        usable=dict.fromkeys(incarnations, 500.0),
        movable=frozenset(incarnations),
        leaving=frozenset(),
        load=load.counted,
    )
    assert not Planner(view).plan()
    assert evaluations <= 4 * len(incarnations)
