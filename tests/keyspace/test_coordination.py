"""Exclusive ownership across coordinator and store failures."""

import random

import pytest
import trio
from trio.testing import MockClock

from carobwalk.keyspace import KeyTimes
from carobwalk.model import ServerId
from tests.keyspace.simulated_fleet import SAMPLE_KEYS, SimulatedFleet


class TestAssignment:
    def test_initial(self, run_scenario) -> None:
        """Every key gets an owner soon after the servers have registered."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.add_router('a')
            await fleet.wait_until_owned()
            assert len({fleet.book.owner(key) for key in SAMPLE_KEYS}) >= 3

        run_scenario(scenario)

    def test_written_before_granted(self, run_scenario) -> None:
        """No grant is sent before its assignment is written to the store."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.add_router('a')
            await fleet.wait_until_owned()
            fleet.store.is_down = True
            fleet.add_server(9)
            before = dict(
                fleet.book.holders_by_id[ServerId('s9')].fences_by_key
            )
            await trio.sleep(1)
            after = fleet.book.holders_by_id[ServerId('s9')].fences_by_key
            assert before == after == {}

        run_scenario(scenario)

    def test_fences_rise(self, run_scenario) -> None:
        """A reassigned key is granted with a higher fencing token."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.add_router('a')
            await fleet.wait_until_owned()
            owner = fleet.book.owner(0)
            assert owner is not None
            first = fleet.book.holders_by_id[owner].fences_by_key[0]
            fleet.leave(int(owner[1:]))
            await trio.sleep(1)
            following = fleet.book.owner(0)
            assert following not in {None, owner}
            assert fleet.book.holders_by_id[following].fences_by_key[0] > first

        run_scenario(scenario)

    def test_new_server(self, run_scenario) -> None:
        """A server that registers later is assigned keys."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.add_router('a')
            await fleet.wait_until_owned()
            fleet.add_server(8)
            await trio.sleep(1.5)
            assert fleet.book.holders_by_id[ServerId('s8')].held

        run_scenario(scenario)


class TestCoordinatorLost:
    def test_killed(self, run_scenario) -> None:
        """Owners keep their keys while another process is elected."""

        async def scenario(fleet: SimulatedFleet) -> None:
            for name in 'abc':
                fleet.add_router(name)
            await fleet.wait_until_owned()
            fleet.kill(fleet.coordinator())
            for _ in range(60):
                await trio.sleep(0.1)
                assert None not in {
                    fleet.book.owner(key) for key in SAMPLE_KEYS
                }
            assert fleet.coordinator()

        run_scenario(scenario)

    def test_resigned(self, run_scenario) -> None:
        """After a resignation the next coordinator can move keys at once."""

        async def scenario(fleet: SimulatedFleet) -> None:
            first = fleet.add_router('a')
            await fleet.wait_until_owned()
            second = fleet.add_router('b')
            await trio.sleep(0.5)
            await first.role.resign()
            await trio.sleep(0.5)
            assert second.is_coordinating
            owner = fleet.book.owner(0)
            fleet.leave(int(owner[1:]))
            await trio.sleep(1)
            assert fleet.book.owner(0) not in {None, owner}

        run_scenario(scenario)

    def test_store_unreachable(self, run_scenario) -> None:
        """A coordinator without the store sends no orders after its lease."""

        async def scenario(fleet: SimulatedFleet) -> None:
            first = fleet.add_router('a')
            await fleet.wait_until_owned()
            fleet.add_router('b')
            await trio.sleep(0.5)
            first.link.is_cut = True
            await trio.sleep(2.5)
            owner = fleet.book.owner(0)
            fleet.leave(int(owner[1:]))
            await trio.sleep(20)
            assert fleet.book.owner(0) not in {None, owner}

        run_scenario(scenario)

    def test_killed_during_moves(self, run_scenario) -> None:
        """A move that a coordinator did not finish is completed by the next."""

        async def scenario(fleet: SimulatedFleet) -> None:
            for name in 'ab':
                fleet.add_router(name)
            await fleet.wait_until_owned()
            owner = fleet.book.owner(0)
            fleet.leave(int(owner[1:]))
            await trio.sleep(0.11)
            fleet.kill(fleet.coordinator())
            await trio.sleep(20)
            assert fleet.book.owner(0) not in {None, owner}

        run_scenario(scenario)


class TestStoreLost:
    def test_outage(self, run_scenario) -> None:
        """Owners keep their keys during a store outage of eight seconds."""

        async def scenario(fleet: SimulatedFleet) -> None:
            for name in 'ab':
                fleet.add_router(name)
            await fleet.wait_until_owned()
            fleet.store.is_down = True
            for _ in range(80):
                await trio.sleep(0.1)
                assert None not in {
                    fleet.book.owner(key) for key in SAMPLE_KEYS
                }
            fleet.store.is_down = False
            await trio.sleep(3)
            assert None not in {fleet.book.owner(key) for key in SAMPLE_KEYS}

        run_scenario(scenario)

    @pytest.mark.parametrize('seed', range(12))
    def test_outage_during_renewals(self, run_scenario, seed: int) -> None:
        """Short grants in flight when the term becomes in doubt are replaced.

        Guards against owners that hold only short grants during an outage:
        seed 2 lost all keys after 3.3 s, as did 35 of 150 seeds.
        """

        async def scenario(fleet: SimulatedFleet) -> None:
            random.seed(seed)
            for name in 'ab':
                fleet.add_router(name)
            await fleet.wait_until_owned()
            fleet.store.is_down = True
            await trio.sleep(5)
            assert None not in {fleet.book.owner(key) for key in SAMPLE_KEYS}

        run_scenario(scenario)

    def test_lost_answers(self, run_scenario) -> None:
        """A write whose answer is lost is read back, not repeated."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.add_router('a')
            await fleet.wait_until_owned()
            fleet.store.loses_replies = True
            owner = fleet.book.owner(0)
            fleet.leave(int(owner[1:]))
            await trio.sleep(1)
            assert fleet.book.owner(0) not in {None, owner}

        run_scenario(scenario)


class TestDisabledRules:
    def test_inherited_grants_ignored(self, virtual_clock: MockClock) -> None:
        """Ignoring inherited grants gives a key two owners."""

        async def body() -> SimulatedFleet:
            fleet = SimulatedFleet(4)
            async with trio.open_nursery() as nursery:
                fleet.start(nursery)
                times = _TimesWithoutInherited()
                first = fleet.add_router('a', times)
                await fleet.wait_until_owned()
                fleet.add_router('b', times)
                await trio.sleep(0.5)
                owner = fleet.book.owner(0)
                # A renewal is in flight when its coordinator is killed.
                fleet.book.holders_by_id[owner].apply_delay = 2.2
                await trio.sleep(0.8)
                fleet.book.holders_by_id[owner].apply_delay = None
                fleet.kill(first)
                await trio.sleep(1.7)
                fleet.leave(int(owner[1:]))
                await trio.sleep(6)
                nursery.cancel_scope.cancel()
            return fleet

        fleet = trio.run(body, clock=virtual_clock)
        assert fleet.book.violations


class _TimesWithoutInherited(KeyTimes):
    @property
    def inherited(self) -> float:
        return 0
