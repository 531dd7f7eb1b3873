"""Tests of the check that all is served again after the last fault."""

import math
import re
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path

import pytest
import trio
from trio.testing import MockClock

from soak._caller import Ask, Reply
from soak._event_file import EventFile
from soak._freeze_watch import FREEZE_SECONDS, FreezeWatch
from soak._invariant_checker import InvariantChecker
from soak._observed_servers import SAMPLE_KEYS
from soak._recovery import MAX_IN_FLIGHT, Phase, wait_until_served
from soak._recovery_bound import RecoveryBound

RECOVERY = Phase('recovery', 15.0, repeated_after=4.0)
NEWEST = 7
KEY_PATH = f'/lookups/{SAMPLE_KEYS[-1]}'
PATHS = (
    *(f'/lookups/{key}' for key in SAMPLE_KEYS),
    '/claims/1',
    f'/at-least-{NEWEST}/x',
)
SERVED = Reply(200, is_from_server=True)
REFUSED = Reply(503)

IsServed = Callable[[str, str, float], bool]


@dataclass
class Operator:
    """Source of the newest version."""

    version: int = NEWEST


@dataclass
class Router:
    """Router that is ready from some time on."""

    name: str
    ready_at: float = 0

    async def wait_until_ready(self) -> None:
        """Wait until the time."""
        await trio.sleep_until(self.ready_at)


@dataclass
class Fleet:
    """Routers whose answers a function of name, path and time tells.

    Args:
        is_served: The function.
        seconds: Time that each answer takes.
        freezes: Begin and duration in seconds of freezes of the soak.
    """

    is_served: IsServed = lambda router, path, now: True
    seconds: float = 0.03
    freezes: tuple[tuple[float, float], ...] = ()
    routers: list[Router] = field(
        default_factory=lambda: [Router('router-0'), Router('router-1')]
    )
    checker: InvariantChecker = field(default_factory=InvariantChecker)
    operator: Operator = field(default_factory=Operator)
    asked: list[tuple[float, str, Ask]] = field(default_factory=list)
    in_flight: Counter[str] = field(default_factory=Counter)
    most_in_flight: int = 0
    recovery: float = math.nan
    freeze_watch: FreezeWatch = field(init=False)

    def caller(self, router: Router, *_arguments: object) -> 'FakeCaller':
        """Return a caller of a router."""
        return FakeCaller(self, router)

    async def recover(self, clock: MockClock) -> None:
        """Run the check."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.freeze_watch.run)
            nursery.start_soon(self._freeze, clock)
            self.recovery = await wait_until_served(self, RECOVERY)
            nursery.cancel_scope.cancel()

    async def _freeze(self, clock: MockClock) -> None:
        """Let time pass without any task being run."""
        for began_at, seconds in self.freezes:
            await trio.sleep_until(began_at)
            clock.jump(seconds)


@dataclass
class FakeCaller:
    """Caller of a router of the fleet."""

    fleet: Fleet
    router: Router

    async def send(self, request: Ask) -> Reply:
        """Return the answer of the fleet at the time of the request."""
        now = trio.current_time()
        self.fleet.asked.append((now, self.router.name, request))
        is_served = self.fleet.is_served(self.router.name, request.path, now)
        in_flight = self.fleet.in_flight
        in_flight[self.router.name] += 1
        most = max(self.fleet.most_in_flight, in_flight[self.router.name])
        self.fleet.most_in_flight = most
        await trio.sleep(self.fleet.seconds)
        in_flight[self.router.name] -= 1
        return SERVED if is_served else REFUSED

    async def close(self) -> None:
        """Drop no connection."""


@pytest.fixture
def recover(monkeypatch, tmp_path: Path) -> Callable[[Fleet], list[str]]:
    """Return a function that runs the check on a virtual clock."""

    def run(fleet: Fleet) -> list[str]:
        monkeypatch.setattr('soak._recovery.Caller', fleet.caller)
        fleet.freeze_watch = FreezeWatch(EventFile(tmp_path / 'soak.log'))
        clock = MockClock(autojump_threshold=0)
        trio.run(fleet.recover, clock, clock=clock)
        lines = fleet.checker.violations
        return [line.split(maxsplit=1)[1] for line in lines]

    return run


class TestServed:
    def test_all_is_served(self, recover) -> None:
        """A fleet that serves everything has recovered within a second."""
        fleet = Fleet()
        assert not recover(fleet)
        assert fleet.recovery < 1

    def test_slow_answers_do_not_add_up(self, recover) -> None:
        """Answers of 1.5 s each do not use up the time one after the other."""
        fleet = Fleet(seconds=1.5)
        assert not recover(fleet)
        assert fleet.recovery < 1.5 * len(PATHS) / MAX_IN_FLIGHT + 1

    def test_served_just_in_time(self, recover) -> None:
        """What is served shortly before the bound is in time."""
        fleet = Fleet(lambda router, path, now: now >= 14)
        assert not recover(fleet)
        assert fleet.recovery == pytest.approx(14.2, abs=0.3)

    def test_brief_loss_after_the_first_answer(self, recover) -> None:
        """A recovery lasts until what was lost again is served."""
        fleet = Fleet(lambda router, path, now: now < 2 or now > 6)
        assert not recover(fleet)
        assert fleet.recovery == pytest.approx(6.2, abs=0.3)

    def test_late_answer_is_not_asked_for_twice(self, recover) -> None:
        """What is first served after the time of the repetition suffices."""
        fleet = Fleet(lambda router, path, now: now >= 8, seconds=0.5)
        assert not recover(fleet)
        served = [request.path for at, _, request in fleet.asked if at >= 8]
        assert sorted(served) == sorted(PATHS * len(fleet.routers))


class TestNotServed:
    @pytest.mark.parametrize('router', ['router-0', 'router-1'])
    @pytest.mark.parametrize('path', PATHS)
    def test_each_request_of_each_router(
        self, recover, router: str, path: str
    ) -> None:
        """A single request that one router does not serve is reported."""
        fleet = Fleet(lambda *asked: asked[:2] != (router, path))
        assert recover(fleet) == [
            'not served again: recovery in 15.0 s: '
            f'1 requests: {router} {path} 503; freezes of the soak: none'
        ]
        assert fleet.recovery == RECOVERY.timeout

    def test_served_after_the_bound(self, recover) -> None:
        """An answer that is only served after 15 s is too late."""
        fleet = Fleet(lambda router, path, now: now > 15 or path != KEY_PATH)
        assert len(recover(fleet)) == 1

    def test_answer_after_the_bound(self, recover) -> None:
        """A request that is sent in time but answered after 15 s is late."""
        fleet = Fleet(lambda router, path, now: now > 14, seconds=1.5)
        assert len(recover(fleet)) == 1

    @pytest.mark.parametrize('lost_after', [0.2, 2, 3.9])
    def test_lost_after_its_first_answer(
        self, recover, lost_after: float
    ) -> None:
        """A key that is served at first and lost a little later is found."""
        fleet = Fleet(
            lambda router, path, now: now < lost_after or path != '/claims/1'
        )
        assert len(recover(fleet)) == 1

    def test_router_that_is_not_ready(self, recover) -> None:
        """A router that does not become ready in time is reported."""
        fleet = Fleet(routers=[Router('router-0'), Router('router-1', 16)])
        assert recover(fleet) == [
            'not served again: recovery in 15.0 s: '
            '1 requests: router-1 not ready; freezes of the soak: none'
        ]


class TestRequests:
    def test_ids_are_unique(self, recover) -> None:
        """Each request has an id of its own, as none may run twice."""
        fleet = Fleet(lambda router, path, now: now > 3)
        recover(fleet)
        ids = [request.id for _, _, request in fleet.asked]
        assert len(ids) == len(set(ids))

    def test_are_not_sent_at_once(self, recover) -> None:
        """Few requests of a router are in flight if answers are fast."""
        fleet = Fleet()
        recover(fleet)
        assert fleet.most_in_flight == 1
        times = [at for at, router, _ in fleet.asked if router == 'router-0']
        assert len(times) == 2 * len(PATHS)
        assert all(
            later - earlier > fleet.seconds
            for earlier, later in pairwise(times)
        )

    def test_are_limited(self, recover) -> None:
        """A router never has more in flight than it sends to one server."""
        fleet = Fleet(seconds=1, freezes=((3.5, 2),))
        assert not recover(fleet)
        assert fleet.most_in_flight == MAX_IN_FLIGHT


def _served_from(seconds: float) -> IsServed:
    return lambda router, path, now: path != KEY_PATH or now >= seconds


class TestFreezes:
    @pytest.mark.parametrize(
        ('began_at', 'seconds'), [(0.5, 1), (10, 1.3), (14.9, 5), (1, 14.5)]
    )
    def test_time_counts_from_the_end(
        self, recover, began_at: float, seconds: float
    ) -> None:
        """What is served within 15 s of the end of a freeze is in time."""
        ends_at = began_at + seconds + RECOVERY.timeout
        for served_at, late in ((ends_at - 1, False), (ends_at, True)):
            freezes = ((began_at, seconds),)
            fleet = Fleet(_served_from(served_at), freezes=freezes)
            assert bool(recover(fleet)) is late

    def test_answer_at_the_end_of_a_freeze(self, recover) -> None:
        """An answer that waited for the end of a freeze is in time."""
        fleet = Fleet(_served_from(14), seconds=0.5, freezes=((14.6, 2),))
        assert not recover(fleet)
        asked = [at for at, _, one in fleet.asked if one.path == KEY_PATH]
        assert RECOVERY.timeout - 1 < asked[-1] < fleet.freezes[0][0]
        assert fleet.recovery == pytest.approx(16.6, abs=0.1)

    def test_report_names_the_freezes(self, recover) -> None:
        """The report tells the time in all and each freeze."""
        fleet = Fleet(_served_from(99), freezes=((2, 1), (10, 1.3)))
        report = '; '.join(recover(fleet))
        assert 'recovery in 26.3 s' in report
        # The begin is known to 0.02 s.
        freezes = r'(1.00|0.9\d) s until 3.000, (1.30|1.2\d) s until 11.300$'
        assert re.search(f'freezes of the soak: {freezes}', report)
        assert fleet.recovery == pytest.approx(26.3)

    @pytest.mark.parametrize('began_at', [2, 14.9])
    def test_short_delay_does_not_count(self, recover, began_at: float) -> None:
        """A delay below the timeout of an order leaves the bound at 15 s."""
        delay = FREEZE_SECONDS - 0.05
        freezes = ((began_at, delay),)
        fleet = Fleet(_served_from(15.1), freezes=freezes)
        assert 'recovery in 15.0 s' in recover(fleet)[0]
        assert not fleet.freeze_watch.freezes

    def test_freeze_after_the_bound_does_not_count(self, recover) -> None:
        """A freeze cannot begin too late and still move the bound."""
        freezes = ((14, 1.2), (30.3, 2))
        fleet = Fleet(_served_from(31), freezes=freezes)
        assert 'recovery in 30.2 s' in recover(fleet)[0]

    def test_freezes_in_series_end(self, recover) -> None:
        """Only the first five freezes move the bound."""
        freezes = tuple((float(second), 0.5) for second in range(2, 40, 2))
        fleet = Fleet(_served_from(26), freezes=freezes)
        assert 'recovery in 25.5 s' in recover(fleet)[0]

    def test_long_freezes_end(self, recover) -> None:
        """The bound is never moved by more than a minute in all."""
        freezes = tuple((float(second), 14) for second in range(2, 90, 15))
        fleet = Fleet(_served_from(61), freezes=freezes)
        assert 'recovery in 60.0 s' in recover(fleet)[0]
        assert fleet.recovery == 60

    def test_single_freeze_longer_than_the_limit(self, recover) -> None:
        """What is served only after a very long freeze is too late."""
        fleet = Fleet(_served_from(50), freezes=((3, 70),))
        assert 'recovery in 60.0 s' in recover(fleet)[0]

    def test_freezes_alone_are_no_violation(self, recover) -> None:
        """A fleet that serves everything between freezes has recovered."""
        freezes = tuple((float(second), 0.5) for second in range(1, 9, 2))
        fleet = Fleet(freezes=freezes)
        assert not recover(fleet)
        assert fleet.recovery < 2

    def test_frozen_event_loop(self, tmp_path: Path) -> None:
        """A real freeze that spans the end of the time moves it."""
        watch = FreezeWatch(EventFile(tmp_path / 'soak.log'))

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run)
                bound = RecoveryBound(0.3, watch)
                await trio.sleep(0.2)
                time.sleep(FREEZE_SECONDS + 0.2)
                thawed_at = trio.current_time()
                await bound.wait()
                assert trio.current_time() >= thawed_at + 0.3
                nursery.cancel_scope.cancel()

        trio.run(body)
        assert watch.freezes

    def test_delays_are_logged(self, recover, tmp_path: Path) -> None:
        """Freezes and shorter delays are told apart in the log."""
        fleet = Fleet(freezes=((1, 0.35), (2, 0.5), (3, 0.05)))
        recover(fleet)
        lines = (tmp_path / 'soak.log').read_text().splitlines()
        events = [line.split(maxsplit=1)[1].split('.')[0] for line in lines]
        assert [event.split()[0] for event in events] == [
            'event=soak-delayed',
            'event=soak-freeze',
        ]
