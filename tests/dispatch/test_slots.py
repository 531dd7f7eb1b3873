"""Tests of queue policies, concurrency limits and admission."""

from dataclasses import replace

import pytest
import trio
from trio.testing import MockClock

from carobwalk.dispatch import SendEnd, queue_policies
from carobwalk.dispatch._errors import (
    DuplicatePolicyError,
    UnknownPolicyError,
)
from carobwalk.dispatch._server_health import ServerHealth
from carobwalk.dispatch._slots import Slots
from carobwalk.dispatch._ticket import Ticket
from carobwalk.events import NullEventLog
from carobwalk.model import Failure, FailureKind, Outcome, Rank, TrioClock
from carobwalk.profiles import Profile
from tests.dispatch.pools import PROFILE


def slots_of(profile: Profile = PROFILE) -> Slots:
    """Return the slots of one server."""
    health = ServerHealth('server-1', NullEventLog())
    return Slots(profile, TrioClock(), health)


def ticket_of(
    rank: Rank = Rank.LOOKUP,
    caller: str = 'caller-1',
    seconds: float = 60,
    size: int = 100,
) -> Ticket:
    """Return the queue entry of a request that arrives now."""
    expires_at = trio.current_time() + seconds
    return Ticket(rank=rank, caller=caller, size=size, expires_at=expires_at)


async def run_in_slot(
    slots: Slots,
    ticket: Ticket,
    seconds: float,
    ended: list[Ticket],
) -> Failure | None:
    """Acquire a slot, hold it for a time and record the ticket."""
    refusal = await slots.acquire(ticket)
    if refusal is None:
        await trio.sleep(seconds)
        slots.release(ticket, SendEnd.ANSWERED)
        ended.append(ticket)
    return refusal


async def warm_up(slots: Slots) -> None:
    """Raise the concurrency limit of a cold server."""
    for _ in range(20):
        await run_in_slot(slots, ticket_of(), 0.001, [])


async def _flood(
    slots: Slots,
    nursery: trio.Nursery,
    ended: list[Ticket],
    flooded: Rank,
) -> None:
    while True:
        ticket = ticket_of(flooded, caller='flooder')
        nursery.start_soon(run_in_slot, slots, ticket, 0.1, ended)
        await trio.sleep(0.002)


async def _flood_all(
    slots: Slots,
    floods: list[Rank],
    seconds: float,
) -> list[Ticket]:
    """Return the tickets that finished during concurrent floods."""
    ended: list[Ticket] = []
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for rank in floods:
                nursery.start_soon(_flood, slots, nursery, ended, rank)
    return ended


class TestRanks:
    @pytest.mark.parametrize('flooded', list(Rank))
    def test_get_guaranteed_shares(
        self,
        flooded: Rank,
        virtual_clock: MockClock,
    ) -> None:
        """The other ranks get their share of slots during a flood of one."""

        async def case() -> None:
            slots = slots_of()
            await warm_up(slots)
            floods = [*Rank, flooded, flooded, flooded, flooded]
            ended = await _flood_all(slots, floods, 20)
            for rank, share in PROFILE.shares.items():
                used = sum(ticket.rank is rank for ticket in ended)
                assert used * 0.1 / 20 >= 0.9 * share * PROFILE.slots

        trio.run(case, clock=virtual_clock)

    def test_strict_starves(self, virtual_clock: MockClock) -> None:
        """The strict policy, not the default, starves the lowest rank."""

        async def case() -> None:
            slots = slots_of(replace(PROFILE, dispatch_policy='strict'))
            await warm_up(slots)
            ended = await _flood_all(slots, [Rank.LOOKUP, Rank.BULK], 5)
            assert all(ticket.rank is Rank.LOOKUP for ticket in ended[9:])

        trio.run(case, clock=virtual_clock)

    def test_caller_fairness_in_flood(self, virtual_clock: MockClock) -> None:
        """A caller is served although another fills the queue of its rank."""

        async def case() -> None:
            slots = slots_of()
            await warm_up(slots)
            refusals = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_flood_all, slots, [Rank.MONEY], 10)
                await trio.sleep(1)
                for _ in range(20):
                    ticket = ticket_of(Rank.MONEY, caller='quiet')
                    refusals.append(await run_in_slot(slots, ticket, 0.1, []))
            assert refusals == [None for _ in range(20)]

        trio.run(case, clock=virtual_clock)


class TestRefusal:
    def test_full_queue(self, virtual_clock: MockClock) -> None:
        """A request is refused immediately if the queue of its rank is full."""

        async def case() -> None:
            profile = replace(PROFILE, queue_length=10)
            slots = slots_of(profile)
            tickets = [ticket_of() for _ in range(5)]
            async with trio.open_nursery() as nursery:
                for ticket in tickets:
                    nursery.start_soon(run_in_slot, slots, ticket, 1, [])
                await trio.sleep(0.1)
                refusal = await slots.acquire(ticket_of())
                assert refusal is not None
                assert refusal.kind is FailureKind.QUEUE_FULL
                assert refusal.outcome is Outcome.NOT_RUN
                other = await run_in_slot(slots, ticket_of(Rank.BULK), 1, [])
                assert other is None

        trio.run(case, clock=virtual_clock)

    def test_too_many_bytes(self, virtual_clock: MockClock) -> None:
        """A request that exceeds the byte limit of its rank is refused."""

        async def case() -> None:
            slots = slots_of(replace(PROFILE, queue_bytes=1000))
            refusal = await slots.acquire(ticket_of(size=401))
            assert refusal is not None
            assert refusal.kind is FailureKind.QUEUE_FULL

        trio.run(case, clock=virtual_clock)

    def test_insufficient_time(self, virtual_clock: MockClock) -> None:
        """Work that can't finish in time is refused before its deadline."""

        async def case() -> None:
            slots = slots_of()
            await run_in_slot(slots, ticket_of(Rank.MONEY), 1, [])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    run_in_slot, slots, ticket_of(Rank.BULK), 9, []
                )
                await trio.sleep(0.01)
                began_at = trio.current_time()
                refusal = await slots.acquire(ticket_of(Rank.MONEY, seconds=3))
                assert trio.current_time() - began_at == pytest.approx(2)
            assert refusal is not None
            assert refusal.kind is FailureKind.DEADLINE
            assert refusal.outcome is Outcome.NOT_RUN

        trio.run(case, clock=virtual_clock)


async def _max_running(slots: Slots) -> int:
    async with trio.open_nursery() as nursery:
        for _ in range(8):
            nursery.start_soon(run_in_slot, slots, ticket_of(), 1, [])
        await trio.sleep(0.5)
        return slots.running


class TestLimit:
    def test_cold_start(self, virtual_clock: MockClock) -> None:
        """The limit of a cold server rises from one to the number of slots."""

        async def case() -> None:
            slots = slots_of()
            max_running = []
            for _ in range(10):
                max_running.append(await _max_running(slots))
            assert max_running[0] == 1
            assert max_running[-1] == PROFILE.slots

        trio.run(case, clock=virtual_clock)

    def test_shedding_lowers_limit(self, virtual_clock: MockClock) -> None:
        """Shedding lowers the limit to the requests that are running."""

        async def case() -> None:
            slots = slots_of()
            await warm_up(slots)
            tickets = [ticket_of() for _ in range(4)]
            for ticket in tickets:
                assert await slots.acquire(ticket) is None
            slots.release(tickets[0], SendEnd.SHED)
            slots.release(tickets[1], SendEnd.SHED)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run_in_slot, slots, ticket_of(), 1, [])
                await trio.sleep(0.1)
                assert slots.running == 2
                slots.release(tickets[2], SendEnd.ANSWERED)
            slots.release(tickets[3], SendEnd.ANSWERED)

        trio.run(case, clock=virtual_clock)


class TestSettings:
    def test_change_keeps_queued_requests(
        self, virtual_clock: MockClock
    ) -> None:
        """Queued requests stay queued when the queue policy changes."""

        async def case() -> None:
            slots = slots_of()
            ended: list[Ticket] = []
            async with trio.open_nursery() as nursery:
                for rank in (*Rank, *Rank):
                    ticket = ticket_of(rank)
                    nursery.start_soon(run_in_slot, slots, ticket, 0.1, ended)
                await trio.sleep(0.05)
                slots.apply(replace(PROFILE, dispatch_policy='fifo'))
            assert len(ended) == 6
            assert slots.waiting == 0

        trio.run(case, clock=virtual_clock)


class TestRegistry:
    def test_names(self) -> None:
        """Duplicate and unknown policy names raise errors."""
        with pytest.raises(DuplicatePolicyError):
            queue_policies.register('fifo')
        with pytest.raises(UnknownPolicyError):
            queue_policies.make('none', PROFILE)
