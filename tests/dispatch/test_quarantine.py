"""Tests of the quarantine of requests that crash servers."""

import trio
from result import Ok
from trio.testing import MockClock

from carobwalk.dispatch import DispatchPool, Quarantine, SuspectId
from carobwalk.model import FailureKind, Outcome, Rank
from tests.dispatch.calls import call_of
from tests.dispatch.pools import context_of, forward, kind_and_outcome, pool_of
from tests.dispatch.scripted_upstream import ScriptedUpstream, Step

POISON = SuspectId(head=1, length=0, body=0)
QUARANTINED = (FailureKind.QUARANTINED, Outcome.NOT_RUN)


def crashing(times: int) -> ScriptedUpstream:
    """Return a server that crashes during its first requests."""
    return ScriptedUpstream([Step.CRASH for _ in range(times)])


class TestQuarantine:
    def test_quarantines_after_two_losses(self) -> None:
        """A request is suspected after one loss, quarantined after two."""
        quarantine = Quarantine(lambda: 100)
        assert not quarantine.record_loss(
            POISON, 'GET /x', 'server-1'
        ).is_quarantined
        assert quarantine.record_loss(
            POISON, 'GET /x', 'server-2'
        ).is_quarantined

    def test_counts_concurrent_losses_once(self) -> None:
        """Identical requests lost with the same server count as one loss."""
        quarantine = Quarantine(lambda: 100)
        for _ in range(3):
            suspect = quarantine.record_loss(POISON, 'GET /x', 'server-1')
        assert len(suspect.incidents) == 1

    def test_expires(self) -> None:
        """An entry expires ten minutes after the last loss."""
        now = [100.0]
        quarantine = Quarantine(lambda: now[0])
        quarantine.record_loss(POISON, 'GET /x', 'server-1')
        now[0] += 601
        assert quarantine.find(POISON) is None
        assert not quarantine.entries

    def test_snapshots_converge(self) -> None:
        """Two quarantines agree after an exchange of snapshots."""
        first, second = Quarantine(lambda: 100), Quarantine(lambda: 101)
        first.record_loss(POISON, 'GET /x', 'server-1')
        second.record_loss(POISON, 'GET /x', 'server-2')
        before = first.snapshot()
        first.merge(second.snapshot())
        second.merge(before)
        assert first.entries == second.entries
        assert first.entries[0].is_quarantined

    def test_cleared_entry_stays_cleared(self) -> None:
        """An older snapshot does not restore a cleared request."""
        now = [100.0]
        quarantine = Quarantine(lambda: now[0])
        quarantine.record_loss(POISON, 'GET /x', 'server-1')
        old = quarantine.snapshot()
        now[0] = 101
        assert quarantine.clear(POISON)
        quarantine.merge(old)
        assert quarantine.find(POISON) is None


class TestDispatch:
    def test_third_request_is_refused(self, virtual_clock: MockClock) -> None:
        """A request that crashed two servers is refused as not run."""

        async def case() -> None:
            upstream = crashing(9)
            pool = pool_of(upstream)
            results = []
            for _ in range(5):
                call = call_of(b'poison')
                result = await forward(pool, call)
                results.append(kind_and_outcome(result))
                await trio.sleep(2)
            assert results[2:] == [QUARANTINED, QUARANTINED, QUARANTINED]
            assert len(upstream.runs) == 2

        trio.run(case, clock=virtual_clock)

    def test_other_body_is_sent(self, virtual_clock: MockClock) -> None:
        """A request that differs only in its body is not refused."""

        async def case() -> None:
            upstream = crashing(2)
            pool = pool_of(upstream)
            for _ in range(2):
                await forward(pool, call_of(b'poison'))
                await trio.sleep(2)
            result = await forward(pool, call_of(b'innocent'))
            assert isinstance(result, Ok)

        trio.run(case, clock=virtual_clock)

    def test_suspects_run_exclusively(self, virtual_clock: MockClock) -> None:
        """Requests that were lost together run one at a time when repeated."""

        async def case() -> None:
            upstream = ScriptedUpstream()
            pool = pool_of(upstream)
            for _ in range(20):
                await forward(pool, call_of())
            upstream.steps = crashing(4).steps
            await _send_all(pool)
            assert len(pool.quarantine.entries) == 4
            upstream.max_running = 0
            await _send_all(pool)
            assert upstream.max_running == 1
            assert not pool.quarantine.entries

        trio.run(case, clock=virtual_clock)

    def test_broadcasts_before_the_response(
        self, virtual_clock: MockClock
    ) -> None:
        """Other entries receive a loss before it is reported to the caller."""

        async def case() -> None:
            other = Quarantine(trio.current_time)

            async def broadcast(snapshot: bytes) -> None:
                await trio.sleep(0.05)
                other.merge(snapshot)

            context = context_of(broadcast=broadcast)
            pool = pool_of(ScriptedUpstream([Step.CRASH]), context)
            await forward(pool, call_of(b'poison'))
            assert len(other.entries) == 1

        trio.run(case, clock=virtual_clock)

    def test_cleared_request_is_sent(self, virtual_clock: MockClock) -> None:
        """A request that was cleared is sent again."""

        async def case() -> None:
            pool = pool_of(crashing(2))
            for _ in range(2):
                await forward(pool, call_of(b'poison'))
                await trio.sleep(2)
            pool.quarantine.clear(pool.quarantine.entries[0].id)
            result = await forward(pool, call_of(b'poison'))
            assert isinstance(result, Ok)

        trio.run(case, clock=virtual_clock)


async def _send_all(pool: DispatchPool) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(4):
            call = call_of(b'%d' % number, rank=Rank.MONEY)
            nursery.start_soon(forward, pool, call)
