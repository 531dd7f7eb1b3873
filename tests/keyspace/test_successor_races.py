"""Races between a coordinator, its successor and their orders."""

from dataclasses import replace

import trio
from trio.testing import MockClock

from carobwalk.keyspace._activation import Activation
from carobwalk.keyspace._grant_ledger import InheritedBounds
from carobwalk.keyspace._key_range import KeyRange, ServerIncarnation
from carobwalk.model import ServerId
from standins.platform import MemoryOrderChannel
from tests.keyspace.order_senders import NOTHING_INHERITED, OrderSenders
from tests.keyspace.simulated_fleet import SimulatedFleet

OLD_OWNER = ServerIncarnation(ServerId('s1'), 1)
NEW_OWNER = ServerIncarnation(ServerId('s2'), 1)
GRANTED = KeyRange(first=0, last=99, owner=OLD_OWNER, fence=1, is_granted=True)
MOVED = KeyRange(
    first=0, last=99, owner=NEW_OWNER, fence=2, previous=(OLD_OWNER,)
)


class TestReleaseBeforeReport:
    def test_later_grant(self, virtual_clock: MockClock) -> None:
        """A predecessor's grant may arrive after the successor's release.

        It is answered before the predecessor reports its bounds, so it counts
        as answered there; it was answered after the release nevertheless.
        """

        async def body() -> MemoryOrderChannel:
            orders = OrderSenders()
            before = orders.sender('1', NOTHING_INHERITED)
            assumed = InheritedBounds(holds=11, unanswered=11)
            after = orders.sender('2', assumed)
            faults = orders.book.faults_by_id[OLD_OWNER.server]
            async with trio.open_nursery() as nursery:
                faults.order_delay = 0.2
                nursery.start_soon(before.grant, GRANTED, '', lambda: True)
                await trio.sleep(0.01)
                faults.order_delay = 0
                activation = Activation(
                    MOVED,
                    after,
                    orders.dependencies,
                    orders.clock,
                    lambda: True,
                )
                nursery.start_soon(activation.run)
                await trio.sleep(0.3)
                after.ledger.inherit(before.ledger.state())
            return orders.book

        assert trio.run(body, clock=virtual_clock).violations == []


class TestReportDuringSend:
    def test_unsent_grant(self, virtual_clock: MockClock) -> None:
        """Undoing an unsent grant keeps the bounds that were reported."""

        async def body() -> None:
            orders = OrderSenders()
            before = orders.sender('1', NOTHING_INHERITED)
            after = orders.sender('2', NOTHING_INHERITED)
            await before.grant(GRANTED, '', lambda: True)
            faults = orders.book.faults_by_id[OLD_OWNER.server]
            faults.opens_no_connections = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(after.grant, GRANTED, '', lambda: True)
                await trio.sleep(0.1)
                after.ledger.inherit(before.ledger.state())
            bound = after.ledger.holds_until(OLD_OWNER)
            assert bound >= before.ledger.holds_until(OLD_OWNER)

        trio.run(body, clock=virtual_clock)


class TestRestart:
    def test_order_for_former_incarnation(self, run_scenario) -> None:
        """A restarted server may hold keys by orders meant for its former life.

        The platform's servers compare only the id that an order names.
        """

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.book.reach.checks_incarnation = False
            fleet.add_router('a')
            await fleet.wait_until_owned()
            owner = fleet.book.owner(0)
            number = int(owner[1:])
            fleet.start_server(number, born=2)
            await trio.sleep(0.8)
            fleet.register_server(number, born=2)
            fleet.leave(number)
            await trio.sleep(3)

        run_scenario(scenario)


class TestUnwrittenMove:
    # Guards against two owners: renewals went on to a restarted server after
    # its new entry was seen, as the record could not be written.
    def test_renewed_after_registration(self, run_scenario) -> None:
        """A restarted server gets no grants meant for its former life."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.book.reach.checks_incarnation = False
            router = fleet.add_router('a')
            await fleet.wait_until_owned()
            await trio.sleep(3)
            owner = fleet.book.owner(65_535)
            number = int(owner[1:])
            router.link.is_cut = True
            fleet.start_server(number, born=2)
            fleet.register_server(number, born=2)
            fleet.add_server(8)
            await trio.sleep(0.9)
            router.link.is_cut = False
            await trio.sleep(8)

        run_scenario(scenario)


class TestResignation:
    def test_succeeded_meanwhile(self, run_scenario) -> None:
        """A process whose term ends while it resigns does not fail."""

        async def scenario(fleet: SimulatedFleet) -> None:
            first = fleet.add_router('a')
            await fleet.wait_until_owned()
            fleet.add_router('b')
            await trio.sleep(0.5)
            first.link.write_delay = 5
            await trio.sleep(0.9)
            first.link.write_delay = None
            first.link.delay = 0.9
            await first.role.resign()

        run_scenario(scenario)


class TestSupersededMove:
    # Guards against keys that nobody serves: the owner lost keys that had come
    # back to it, and was taken to hold them until the next renewal.
    def test_no_release_of_returned_keys(
        self, virtual_clock: MockClock
    ) -> None:
        """A move that is no longer in force releases no keys."""

        async def body() -> None:
            orders = OrderSenders()
            sender = orders.sender('1', NOTHING_INHERITED)
            await sender.grant(GRANTED, '', lambda: True)
            holder = orders.book.holders_by_id[OLD_OWNER.server]
            holder.stalls_releases = True
            superseded = trio.Event()
            activation = Activation(
                MOVED,
                sender,
                orders.dependencies,
                orders.clock,
                lambda: not superseded.is_set(),
            )
            returned = replace(GRANTED, fence=3)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(activation.run)
                await trio.sleep(1)
                superseded.set()
                holder.stalls_releases = False
                await sender.grant(returned, '', lambda: True)
                await trio.sleep(1)
                assert holder.holds(0, trio.current_time())

        trio.run(body, clock=virtual_clock)
