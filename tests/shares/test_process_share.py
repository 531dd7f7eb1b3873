"""Shares of single processes in limits on all of them together."""

from collections.abc import Awaitable, Callable

import pytest
import trio
from trio.testing import MockClock

from carobwalk.model import ProcessId, TrioClock
from carobwalk.shares import SHARE_SECONDS, ProcessShare, SharerCount

WINDOW_SECONDS = 10.0
STEP_SECONDS = 0.25
SHARERS = 12

Scenario = Callable[[], Awaitable[None]]


@pytest.fixture
def run(virtual_clock: MockClock) -> Callable[[Scenario], None]:
    """Return a function that runs a scenario on a virtual clock."""
    return lambda scenario: trio.run(scenario, clock=virtual_clock)


async def _hold(share: ProcessShare, seconds: float) -> None:
    """Confirm a share for a time."""
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        share.renew(SHARERS)
        await trio.sleep(STEP_SECONDS)


async def _report(
    count: SharerCount, processes: int, seconds: float, sharers: int = 0
) -> None:
    """Let processes report for a time."""
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        for number in range(processes):
            count.record(ProcessId(f'p{number}'), sharers)
        await trio.sleep(STEP_SECONDS)


class TestProcessShare:
    def test_no_share_at_first(self, run) -> None:
        """A process that was told no number has no share."""

        async def scenario() -> None:
            share = ProcessShare()
            share.renew(0)
            assert share.sharers == 0
            assert share.cautious_sharers == 0

        run(scenario)

    def test_lapse(self, run) -> None:
        """A share that is not confirmed lapses; the caution remains."""

        async def scenario() -> None:
            share = ProcessShare()
            share.renew(SHARERS)
            await trio.sleep(SHARE_SECONDS - 0.1)
            assert share.sharers == SHARERS
            await trio.sleep(0.2)
            assert share.sharers == 0
            assert share.cautious_sharers == 2 * SHARERS

        run(scenario)

    def test_whole_window(self, run) -> None:
        """A share counts for a window once it was held that long."""

        async def scenario() -> None:
            share = ProcessShare()
            await _hold(share, WINDOW_SECONDS - 1)
            assert share.sharers_for(WINDOW_SECONDS) == 0
            await _hold(share, 1)
            assert share.sharers_for(WINDOW_SECONDS) == SHARERS
            await trio.sleep(SHARE_SECONDS + 1)
            await _hold(share, WINDOW_SECONDS - 1)
            assert share.sharers_for(WINDOW_SECONDS) == 0

        run(scenario)


class TestSharerCount:
    def test_unknown_at_first(self, run) -> None:
        """A new coordinator tells no number while old shares may be used."""

        async def scenario() -> None:
            count = SharerCount(TrioClock(), WINDOW_SECONDS)
            count.start_term()
            await _report(count, SHARERS, SHARE_SECONDS - STEP_SECONDS)
            assert count.count() == 0
            await _report(count, SHARERS, 2 * STEP_SECONDS)
            assert count.count() == SHARERS

        run(scenario)

    def test_lost_process(self, run) -> None:
        """A process that falls silent is counted for a window more."""

        async def scenario() -> None:
            count = SharerCount(TrioClock(), WINDOW_SECONDS)
            count.start_term()
            await _report(count, SHARERS, 2 * WINDOW_SECONDS)
            await _report(count, 1, SHARE_SECONDS + WINDOW_SECONDS - 1)
            assert count.count() == SHARERS
            await _report(count, 1, 2)
            assert count.count() == 1

        run(scenario)

    def test_unreachable_processes(self, run) -> None:
        """A new coordinator shares by its reporters' earlier number."""

        async def scenario() -> None:
            count = SharerCount(TrioClock(), WINDOW_SECONDS)
            count.start_term()
            await _report(count, 2, SHARE_SECONDS, SHARERS)
            await _report(count, 2, WINDOW_SECONDS - 1)
            assert count.count() == SHARERS
            await _report(count, 2, 2)
            assert count.count() == 2

        run(scenario)
