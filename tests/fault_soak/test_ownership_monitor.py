"""Tests of the continuous check for keys with two owners."""

import trio
from trio.testing import MockClock

from carobwalk.model import ServerId
from soak._invariant_checker import InvariantChecker
from soak._ownership_monitor import AppliedGrant, OwnershipMonitor
from standins.platform import KeyHolder, Order

FIRST = ServerId('a')
SECOND = ServerId('b')
KEY = 7


class Fleet:
    """Two servers under the check of a monitor."""

    def __init__(self) -> None:
        self.checker = InvariantChecker()
        self.holders_by_id = {FIRST: KeyHolder(), SECOND: KeyHolder()}
        self.monitor = OwnershipMonitor(
            self.holders_by_id, (KEY,), self.checker
        )

    def grant(self, server: ServerId, fence: int, hold: float) -> None:
        """Grant the keys 0 to 9 to a server."""
        now = trio.current_time()
        order = Order(0, 9, fence, hold)
        self.holders_by_id[server].grant((0, 9), fence, now + hold, (KEY,))
        grant = AppliedGrant(f'{server}@1', 'r', fence, now, now, now + hold)
        self.monitor.record_grant(server, order, grant)


def _violations_of(scenario) -> list[str]:
    """Return the violations of a scenario, without their times."""
    fleet = Fleet()

    async def body() -> None:
        await scenario(fleet)
        fleet.monitor.finish()

    trio.run(body, clock=MockClock(autojump_threshold=0))
    lines = fleet.checker.violations
    return [line.split(maxsplit=1)[1] for line in lines]


class TestOwnershipMonitor:
    def test_keys_that_move_after_their_end(self) -> None:
        """Owners that follow one another are no violation."""

        async def scenario(fleet: Fleet) -> None:
            fleet.grant(FIRST, 1, hold=1)
            await trio.sleep(1)
            fleet.grant(SECOND, 2, hold=1)

        assert not _violations_of(scenario)

    def test_overlap_with_its_requests(self) -> None:
        """An overlap is reported with fences, duration and requests."""

        async def scenario(fleet: Fleet) -> None:
            fleet.grant(FIRST, 1, hold=3)
            fleet.grant(SECOND, 2, hold=9)
            fleet.monitor.record_run('q1', KEY, 'a@1')
            fleet.monitor.record_run('q2', KEY, 'b@1')
            fleet.monitor.record_run('q3', KEY + 1, 'b@1')
            await trio.sleep(3)
            fleet.monitor.check()

        start, end = _violations_of(scenario)
        assert start.startswith('two owners: key 7: a@1 fence 1')
        assert 'b@1 fence 2' in start
        assert end.startswith('two owners until now: key 7 for 3.000 s')
        assert "a@1 began 1: ['q1']" in end
        assert "b@1 began 1: ['q2']" in end

    def test_overlap_without_a_grant_is_found_by_the_timer(self) -> None:
        """Keys that become owned twice without an order are found as well."""

        async def scenario(fleet: Fleet) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.monitor.run)
                await trio.sleep(1)
                for server in (FIRST, SECOND):
                    end = trio.current_time() + 5
                    fleet.holders_by_id[server].grant((0, 9), 1, end, ())
                await trio.sleep(1)
                nursery.cancel_scope.cancel()

        assert len(_violations_of(scenario)) == 2

    def test_fence_below_an_earlier_owner(self) -> None:
        """A fence that is not above those of earlier owners is reported."""

        async def scenario(fleet: Fleet) -> None:
            fleet.grant(FIRST, 5, hold=1)
            await trio.sleep(1)
            fleet.grant(SECOND, 4, hold=1)

        lines = _violations_of(scenario)
        assert len(lines) == 1
        assert lines[0].startswith('fence not above earlier owners: key 7')

    def test_grant_that_ended_before_it_was_applied(self) -> None:
        """A late grant that is over when it is applied takes no keys."""

        async def scenario(fleet: Fleet) -> None:
            fleet.grant(SECOND, 6, hold=1)
            fleet.grant(FIRST, 5, hold=0)

        assert not _violations_of(scenario)
