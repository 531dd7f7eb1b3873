"""The soak's check that routers obey what servers say of themselves."""

import math
from collections.abc import Awaitable, Callable

import pytest
import trio
from trio.testing import MockClock

from soak._invariant_checker import InvariantChecker
from soak._notice_check import NoticeCheck

SERVER = 'server'
ROUTERS = ('router-0', 'router-1')

Scenario = Callable[['Arrivals'], Awaitable[None]]


class Arrivals:
    """Answers and arrivals at one server."""

    def __init__(self) -> None:
        self.checker = InvariantChecker()
        self.disturbed_at = -math.inf
        self.check = NoticeCheck(self.checker, lambda _: self.disturbed_at)

    def answer(
        self,
        limit: float | None = None,
        wait: float = 0,
        *,
        is_leaving: bool = False,
    ) -> None:
        """Let the server answer each router."""
        for router in ROUTERS:
            self.check.record_answer(
                SERVER, router, limit, wait, is_leaving=is_leaving
            )

    async def arrive(self, interval: float, seconds: float) -> None:
        """Let requests of both routers arrive for a time."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            for router in ROUTERS:
                self.check.record_arrival(SERVER, router)
            await trio.sleep(interval)


@pytest.fixture
def violations(virtual_clock: MockClock) -> Callable[[Scenario], list[str]]:
    """Return a function that runs a scenario and returns the violations."""

    def run(scenario: Scenario) -> list[str]:
        async def body() -> list[str]:
            arrivals = Arrivals()
            await trio.sleep(10)
            await scenario(arrivals)
            return arrivals.checker.violations

        return trio.run(body, clock=virtual_clock)

    return run


class TestNoticeCheck:
    @pytest.mark.parametrize(
        ('interval', 'is_broken'), [(0.5, True), (2, False)]
    )
    def test_limit(self, violations, interval: float, is_broken: bool) -> None:
        """Requests of all routers count against a limit."""

        async def scenario(arrivals: Arrivals) -> None:
            arrivals.answer(limit=1)
            await arrivals.arrive(interval, 12)

        assert bool(violations(scenario)) is is_broken

    @pytest.mark.parametrize(
        ('interval', 'is_broken'), [(0.3, True), (1, False)]
    )
    def test_wait(self, violations, interval: float, is_broken: bool) -> None:
        """More than two requests of a router in a wait are found."""

        async def scenario(arrivals: Arrivals) -> None:
            arrivals.answer(wait=2)
            await arrivals.arrive(interval, 4)

        assert bool(violations(scenario)) is is_broken

    @pytest.mark.parametrize(
        ('seconds', 'is_broken'), [(6, True), (3.5, False)]
    )
    def test_leaving(self, violations, seconds: float, is_broken: bool) -> None:
        """A request to a server that has said long ago that it leaves."""

        async def scenario(arrivals: Arrivals) -> None:
            arrivals.answer(is_leaving=True)
            await arrivals.arrive(1, seconds)

        assert bool(violations(scenario)) is is_broken

    def test_restart_excuses(self, violations) -> None:
        """A router that was restarted knows nothing of before."""

        async def scenario(arrivals: Arrivals) -> None:
            arrivals.answer(limit=1, wait=5, is_leaving=True)
            arrivals.disturbed_at = trio.current_time() + 0.01
            await arrivals.arrive(0.1, 12)

        assert violations(scenario) == []
