"""Tests of the checks of a caller that waits for its answers."""

import math
from dataclasses import dataclass, field
from pathlib import Path

import pytest
import trio
from trio.testing import MockClock

from soak._caller import Ask, Caller, Reply
from soak._event_file import EventFile
from soak._freeze_watch import FreezeWatch
from soak._invariant_checker import InvariantChecker
from soak._router import RouterState

REQUEST = Ask('q', 'GET', '/lookups/1')
SERVED = Reply(200, is_from_server=True)
ASKED_AT = 2.0
MAX_WAIT_SECONDS = 4.0
LATE = 'no answer by the deadline'
LOST = 'lost in a planned stop'


@dataclass
class Router:
    """Router that runs all the time."""

    name: str = 'router-0'
    incarnation: int = 1
    state: RouterState = RouterState.RUNNING
    resumed_at: float = -math.inf
    graceful_stops: set[int] = field(default_factory=set)


@dataclass
class Scene:
    """A request that is answered after some time, and freezes of the soak.

    Args:
        answer_seconds: Time until the answer, from the request.
        freezes: Begin, from the request, and duration of each in seconds.
        router: Router that is called.
        has_run: Whether a server has run the request.
    """

    answer_seconds: float
    freezes: tuple[tuple[float, float], ...] = ()
    router: Router = field(default_factory=Router)
    has_run: bool = False
    ended_after: float = math.nan
    checker: InvariantChecker = field(default_factory=InvariantChecker)

    async def play(self, clock: MockClock, watch: FreezeWatch) -> None:
        """Send the request some time after the start of the watch."""
        caller = Caller(self.router, self.checker, watch)
        caller._connect = self._connect
        caller._exchange = self._exchange
        if self.has_run:
            self.checker.record_run(REQUEST.id, 's1')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            nursery.start_soon(self._freeze, clock)
            await trio.sleep_until(ASKED_AT)
            began = trio.current_time()
            await caller.send(REQUEST)
            self.ended_after = trio.current_time() - began
            nursery.cancel_scope.cancel()

    async def _connect(self) -> bool:
        return True

    async def _exchange(self, request: Ask) -> Reply:
        await trio.sleep(self.answer_seconds)
        return SERVED

    async def _freeze(self, clock: MockClock) -> None:
        """Let time pass without any task being run."""
        for began_after, seconds in self.freezes:
            await trio.sleep_until(ASKED_AT + began_after)
            clock.jump(seconds)


@pytest.fixture
def play(tmp_path: Path):
    """Return a function that returns the violations of a scene."""

    def run(scene: Scene) -> list[str]:
        watch = FreezeWatch(EventFile(tmp_path / 'soak.log'))
        clock = MockClock(autojump_threshold=0)
        trio.run(scene.play, clock, watch, clock=clock)
        lines = scene.checker.violations
        return [line.split(maxsplit=1)[1].split(':')[0] for line in lines]

    return run


class TestWaitForAnswer:
    @pytest.mark.parametrize(
        ('seconds', 'reported'),
        [(3.99, []), (MAX_WAIT_SECONDS, [LATE]), (4.01, [LATE]), (60, [LATE])],
    )
    def test_without_a_freeze(
        self, play, seconds: float, reported: list[str]
    ) -> None:
        """Four seconds are too long, however shortly after them it comes."""
        scene = Scene(seconds)
        assert play(scene) == reported
        assert scene.ended_after < MAX_WAIT_SECONDS + 0.1

    @pytest.mark.parametrize(
        'freezes', [((0.5, 1),), ((3.9, 1),), ((1, 0.5), (3, 0.5))]
    )
    @pytest.mark.parametrize(
        ('seconds', 'reported'), [(4.95, []), (5, [LATE]), (60, [LATE])]
    )
    def test_with_a_second_of_freezes(
        self,
        play,
        freezes: tuple[tuple[float, float], ...],
        seconds: float,
        reported: list[str],
    ) -> None:
        """The wait lasts longer by the freezes, and no more."""
        scene = Scene(seconds, freezes)
        assert play(scene) == reported
        assert scene.ended_after < MAX_WAIT_SECONDS + 1.1

    def test_freeze_over_the_whole_wait(self, play) -> None:
        """An answer that came during a long freeze is read after it."""
        assert not play(Scene(2, ((0.1, 10),)))

    def test_short_delays(self, play) -> None:
        """Delays below that of a freeze leave the wait as it is."""
        delays = tuple((float(second), 0.35) for second in range(4))
        assert play(Scene(4.1, delays)) == [LATE]

    @pytest.mark.parametrize('freeze', [(-1.9, 1.8), (4.05, 9)])
    def test_freeze_at_another_time(
        self, play, freeze: tuple[float, float]
    ) -> None:
        """A freeze before the request or after the wait does not count."""
        assert play(Scene(4.1, (freeze,))) == [LATE]


class TestStoppedRouter:
    @pytest.mark.parametrize(
        ('seconds', 'reported'), [(4.9, []), (5.1, [LOST])]
    )
    def test_planned_stop(
        self, play, seconds: float, reported: list[str]
    ) -> None:
        """What ran is lost if it has no answer, freezes apart."""
        router = Router(state=RouterState.STOPPING, graceful_stops={1})
        scene = Scene(seconds, ((1, 1),), router, has_run=True)
        assert play(scene) == reported

    def test_paused_router(self, play) -> None:
        """A router that was paused meanwhile may be late."""
        assert not play(Scene(60, router=Router(resumed_at=3)))

    def test_router_that_was_paused_before(self, play) -> None:
        """A router that ran again when it was asked may not."""
        assert play(Scene(60, router=Router(resumed_at=1.9))) == [LATE]
