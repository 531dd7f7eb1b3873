"""Pattern: many ranges get other owners in the same moment."""

import trio
from trio.testing import MockClock

from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import ServerLife
from carobwalk.keyspace._planned_map import PlannedMap
from carobwalk.keyspace._planner import Planner, PlannerView
from tests.keyspace.scene import Scene
from tests.keyspace.test_planner import Load, divide, make_lives


class CountingMap(KeyMap):
    """Map that counts how often a map is made."""

    made = 0

    def __init__(self, *arguments) -> None:
        CountingMap.made += 1
        super().__init__(*arguments)


def test_work_grows_with_moves(
    virtual_clock: MockClock,
    monkeypatch,
) -> None:
    """The coordinator makes few maps for each range that moves.

    It once made all grants anew for each move and each telling, and callers
    of the coordinating process waited for seconds.
    """
    for module in ('_key_map', '_codec', '_service_coordinator'):
        name = f'carobwalk.keyspace.{module}.KeyMap'
        monkeypatch.setattr(name, CountingMap)

    async def body() -> None:
        scene = Scene(40)
        async with trio.open_nursery() as nursery:
            scene.start(nursery)
            router = scene.add_router('a')
            await scene.settle()
            await trio.sleep(1)
            publish = router.feed.publish
            told = []

            def count(*arguments) -> None:
                told.append(arguments)
                publish(*arguments)

            router.feed.publish = count
            CountingMap.made = 0
            before = scene.book.grants
            for number in range(20):
                scene.leave(number)
            await trio.sleep(0.3)
            moved = len(router.log.named('KeysGranted')) - 40
            assert moved >= 20
            assert scene.book.grants > before
            assert len(told) <= moved / 10
            assert CountingMap.made <= 2 * moved
            nursery.cancel_scope.cancel()

    trio.run(body, clock=virtual_clock)


def test_look_at_an_even_load_grows_with_servers(monkeypatch) -> None:
    """The coordinator looks at each server a few times, not at all pairs.

    With a hundred servers under an even load a look once cost more than all
    renewals of their grants.
    """
    lives = make_lives(300)
    key_map = divide(lives)
    load = Load(1)
    load.run(1, 30_000, range(1), 0)
    looks = 0
    utilisation = PlannedMap.utilisation

    def count(planned: PlannedMap, life: ServerLife) -> float:
        nonlocal looks
        looks += 1
        return utilisation(planned, life)

    monkeypatch.setattr(PlannedMap, 'utilisation', count)
    view = PlannerView(
        key_map=key_map,
        usable=dict.fromkeys(lives, 500.0),
        movable=frozenset(lives),
        leaving=frozenset(),
        load=load.counted,
    )
    assert not Planner(view).plan()
    assert looks <= 4 * len(lives)
