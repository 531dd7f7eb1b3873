"""Ownership while processes see different states of the registry."""

import trio
from trio.testing import MockClock

from carobwalk.keyspace._activation import Activation
from carobwalk.keyspace._codec import map_name
from carobwalk.keyspace._grant_ledger import InheritedBounds
from carobwalk.keyspace._key_range import KeyRange, ServerIncarnation
from carobwalk.model import Address, ServerId
from standins.platform import KeyHolder, MemoryOrderChannel
from tests.keyspace.order_senders import OrderSenders
from tests.keyspace.simulated_fleet import (
    SERVICE,
    SimulatedFleet,
)

RESTARTED = ServerIncarnation(ServerId('s1'), 2)
NEW_OWNER = ServerIncarnation(ServerId('s2'), 1)
MOVED = KeyRange(
    first=0, last=99, owner=NEW_OWNER, fence=2, previous=(RESTARTED,)
)
HELD_SECONDS = 5.0


class TestUnknownIncarnation:
    # Guards against two owners: the release went to the former incarnation,
    # at an address where nothing listened any more, and the refusals proved
    # the end of the incarnation that held the keys elsewhere.
    def test_refused_at_former_address(self, virtual_clock: MockClock) -> None:
        """An incarnation that isn't in the registry yet keeps its keys.

        A former one of its id, at another address, says nothing about it.
        """

        async def body() -> MemoryOrderChannel:
            orders = OrderSenders()
            book = orders.book
            held = KeyHolder(born=2)
            held.grant((0, 99), 1, HELD_SECONDS, (0,))
            book.holders_by_id[RESTARTED.server] = held
            book.reach.addresses_by_id[RESTARTED.server] = Address(
                '127.0.0.1', 2001
            )
            inherited = InheritedBounds(holds=HELD_SECONDS, unanswered=0)
            activation = Activation(
                MOVED,
                orders.sender('1', inherited),
                orders.dependencies,
                orders.clock,
                lambda: True,
            )
            assert await activation.run()
            return book

        assert trio.run(body, clock=virtual_clock).violations == []


class TestFormerRefusals:
    # Guards against two owners: refusals of an earlier term proved the end of
    # a server to which another coordinator had sent grants in between.
    def test_granted_by_other_coordinator(self, run_scenario) -> None:
        """Refusals seen in an earlier term prove nothing in a later one."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.book.reach.checks_incarnation = False
            first = fleet.add_router('a')
            await fleet.wait_until_owned()
            second = fleet.add_router('b')
            await trio.sleep(1)
            owner = ServerId('s0')
            assert fleet.book.owner(0) == owner
            first.link.is_cut = True
            fleet.book.holders_by_id[owner].refuses_connections = True
            await trio.sleep(1.2)
            fleet.start_server(0, born=2)
            await trio.sleep(0.6)
            assert second.is_coordinating
            first.link.is_cut = False
            second.link.is_cut = True
            await trio.sleep(3)

        run_scenario(scenario)


class TestDamagedRecord:
    # Guards against two owners: only servers that may be given keys were asked
    # whether they still hold some.
    def test_owners_are_leaving(self, run_scenario) -> None:
        """Keys of a damaged record also wait for servers that are leaving."""

        async def scenario(fleet: SimulatedFleet) -> None:
            fleet.add_router('a')
            await fleet.wait_until_owned()
            fleet.store.records.put(map_name(SERVICE), b'?')
            fleet.leave(0)
            fleet.leave(1)
            fleet.add_server(2)
            await trio.sleep(8)
            assert fleet.book.owner(0) == 's2'

        run_scenario(scenario, servers=2)
