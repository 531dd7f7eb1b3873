"""Tests of requests during which servers are lost."""

from collections.abc import Awaitable, Callable

import trio
from result import Ok
from trio.testing import MockClock

from carobwalk.dispatch import Quarantine, SuspectId
from carobwalk.model import FailureKind, Outcome, Rank
from tests.dispatch.fakes import (
    ListSink,
    ScriptedUpstream,
    Step,
    call_of,
    context_of,
    endpoint_of,
    placement_of,
    pool_of,
    told,
)

PLACEMENT = placement_of(endpoint_of('server-1'))
POISON = SuspectId(head=1, length=0, body=0)
REFUSED = (FailureKind.QUARANTINED, Outcome.NOT_RUN)


def crashing(times: int) -> ScriptedUpstream:
    """Return a server that crashes under its first requests."""
    return ScriptedUpstream([Step.CRASH for _ in range(times)])


class TestQuarantine:
    def test_convicts_after_two_losses(self) -> None:
        """One loss suspects, a loss of another server convicts."""
        quarantine = Quarantine(lambda: 100)
        assert not quarantine.blame(POISON, 'GET /x', 'server-1').is_convicted
        assert quarantine.blame(POISON, 'GET /x', 'server-2').is_convicted

    def test_counts_one_loss_once(self) -> None:
        """Equal requests that were lost together share one loss."""
        quarantine = Quarantine(lambda: 100)
        for _ in range(3):
            suspect = quarantine.blame(POISON, 'GET /x', 'server-1')
        assert len(suspect.incidents) == 1

    def test_expires(self) -> None:
        """An entry ends ten minutes after the last loss."""
        now = [100.0]
        quarantine = Quarantine(lambda: now[0])
        quarantine.blame(POISON, 'GET /x', 'server-1')
        now[0] += 601
        assert quarantine.find(POISON) is None
        assert not quarantine.entries

    def test_exchange_ends_equal(self) -> None:
        """Two quarantines agree after an exchange in any order."""
        first, second = Quarantine(lambda: 100), Quarantine(lambda: 101)
        first.blame(POISON, 'GET /x', 'server-1')
        second.blame(POISON, 'GET /x', 'server-2')
        before = first.snapshot()
        first.merge(second.snapshot())
        second.merge(before)
        assert first.entries == second.entries
        assert first.entries[0].is_convicted

    def test_clearing_spreads(self) -> None:
        """A cleared request is not brought back by an older snapshot."""
        now = [100.0]
        quarantine = Quarantine(lambda: now[0])
        quarantine.blame(POISON, 'GET /x', 'server-1')
        old = quarantine.snapshot()
        now[0] = 101
        assert quarantine.clear(POISON)
        quarantine.merge(old)
        assert quarantine.find(POISON) is None


class TestDispatch:
    def test_poison_takes_two_servers(self, virtual_clock: MockClock) -> None:
        """The third request of a kind is refused as not run."""

        async def case() -> None:
            upstream = crashing(9)
            pool = pool_of(upstream)
            endings = []
            for _ in range(5):
                call = call_of(b'poison')
                ending = await pool.forward(call, PLACEMENT, ListSink())
                endings.append(told(ending))
                await trio.sleep(2)
            assert endings[2:] == [REFUSED, REFUSED, REFUSED]
            assert len(upstream.runs) == 2

        trio.run(case, clock=virtual_clock)

    def test_bodies_tell_requests_apart(self, virtual_clock: MockClock) -> None:
        """A request with another body is not refused."""

        async def case() -> None:
            upstream = crashing(2)
            pool = pool_of(upstream)
            for _ in range(2):
                await pool.forward(call_of(b'poison'), PLACEMENT, ListSink())
                await trio.sleep(2)
            ending = await pool.forward(
                call_of(b'innocent'),
                PLACEMENT,
                ListSink(),
            )
            assert isinstance(ending, Ok)

        trio.run(case, clock=virtual_clock)

    def test_suspects_run_alone(self, virtual_clock: MockClock) -> None:
        """Requests lost together run one by one when repeated."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            for _ in range(20):
                await pool.forward(call_of(), PLACEMENT, ListSink())
            upstream.steps = crashing(4).steps
            await _send_all(pool.forward)
            assert len(pool.quarantine.entries) == 4
            upstream.most_running = 0
            await _send_all(pool.forward)
            assert upstream.most_running == 1
            assert not pool.quarantine.entries

        trio.run(case, clock=virtual_clock)

    def test_spreads_before_the_answer(self, virtual_clock: MockClock) -> None:
        """Other entries know of a loss before the caller can repeat."""

        async def case() -> None:
            other = Quarantine(trio.current_time)

            async def spread(snapshot: bytes) -> None:
                await trio.sleep(0.05)
                other.merge(snapshot)

            context = context_of(spread=spread)
            pool = pool_of(ScriptedUpstream([Step.CRASH]), context)
            await pool.forward(call_of(b'poison'), PLACEMENT, ListSink())
            assert len(other.entries) == 1

        trio.run(case, clock=virtual_clock)

    def test_operator_clears(self, virtual_clock: MockClock) -> None:
        """A cleared request is sent again."""

        async def case() -> None:
            pool = pool_of(crashing(2))
            for _ in range(2):
                await pool.forward(call_of(b'poison'), PLACEMENT, ListSink())
                await trio.sleep(2)
            pool.quarantine.clear(pool.quarantine.entries[0].id)
            ending = await pool.forward(
                call_of(b'poison'),
                PLACEMENT,
                ListSink(),
            )
            assert isinstance(ending, Ok)

        trio.run(case, clock=virtual_clock)


async def _send_all(forward: Callable[..., Awaitable[object]]) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(4):
            call = call_of(b'%d' % number, rank=Rank.MONEY)
            nursery.start_soon(forward, call, PLACEMENT, ListSink())
