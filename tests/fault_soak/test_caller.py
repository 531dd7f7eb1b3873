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
from soak._processor_waits import ProcessorWaits, SchedulerCounts
from soak._router import RouterState

REQUEST = Ask('q', 'GET', '/lookups/1')
SERVED = Reply(200, is_from_server=True)
ASKED_AT = 2.0
MAX_WAIT_SECONDS = 4.0
RUNS_PER_SECOND = 100
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
    waits: ProcessorWaits | None = None


@dataclass
class Scene:
    """A request that is answered after some time, and freezes of the soak.

    Args:
        answer_seconds: Time until the answer, from the request.
        freezes: Begin, from the request, and duration of each in seconds.
        waits: Begin, from the request, and duration of each time in seconds in
            which the router has no processor.
        router: Router that is called.
        has_run: Whether a server has run the request.
    """

    answer_seconds: float
    freezes: tuple[tuple[float, float], ...] = ()
    waits: tuple[tuple[float, float], ...] = ()
    router: Router = field(default_factory=Router)
    has_run: bool = False
    ended_after: float = math.nan
    checker: InvariantChecker = field(default_factory=InvariantChecker)

    async def play(
        self, clock: MockClock, watch: FreezeWatch, event_file: EventFile
    ) -> None:
        """Send the request some time after the start of the watch."""
        waits = ProcessorWaits('router-0', self._read_counts, event_file)
        self.router.waits = waits
        caller = Caller(self.router, self.checker, watch)
        caller._connect = self._connect
        caller._exchange = self._exchange
        if self.has_run:
            self.checker.record_run(REQUEST.id, 's1')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            nursery.start_soon(waits.run)
            nursery.start_soon(self._freeze, clock)
            await trio.sleep_until(ASKED_AT)
            began = trio.current_time()
            await caller.send(REQUEST)
            self.ended_after = trio.current_time() - began
            nursery.cancel_scope.cancel()

    def _read_counts(self) -> SchedulerCounts:
        """Return counts that grow while the router has a processor."""
        now = trio.current_time()
        waited: float = 0
        ran = now
        for began_after, seconds in self.waits:
            began = ASKED_AT + began_after
            ran -= min(max(now - began, 0), seconds)
            waited += seconds if now >= began + seconds else 0
        return SchedulerCounts(1, waited, int(ran * RUNS_PER_SECOND))

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
        event_file = EventFile(tmp_path / 'soak.log')
        watch = FreezeWatch(event_file)
        clock = MockClock(autojump_threshold=0)
        trio.run(scene.play, clock, watch, event_file, clock=clock)
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


class TestRouterWithoutProcessor:
    """Guards against a busy machine that is taken for a late router."""

    @pytest.mark.parametrize(
        'waits', [((0.5, 1),), ((3.7, 1),), ((1, 0.5), (3, 0.5))]
    )
    @pytest.mark.parametrize(
        ('seconds', 'reported'), [(4.85, []), (5.05, [LATE]), (60, [LATE])]
    )
    def test_second_of_waits(
        self,
        play,
        waits: tuple[tuple[float, float], ...],
        seconds: float,
        reported: list[str],
    ) -> None:
        """The wait lasts longer by the router's own waits, and no more."""
        assert play(Scene(seconds, waits=waits)) == reported

    def test_same_time(self, play) -> None:
        """A freeze and a wait at the same time count once."""
        same = ((1.0, 1.0),)
        assert play(Scene(5.5, same, waits=same)) == [LATE]

    def test_short_waits(self, play) -> None:
        """Waits that are shorter than a freeze leave the wait as it is."""
        waits = tuple((float(second), 0.35) for second in range(4))
        assert play(Scene(4.3, waits=waits)) == [LATE]

    def test_hanging_router(self, play) -> None:
        """A router that is never run again is reported."""
        assert play(Scene(60, waits=((1, 1000),))) == [LATE]


class TestStoppedRouter:
    @pytest.mark.parametrize(
        ('seconds', 'reported'), [(4.9, []), (5.1, [LOST])]
    )
    def test_planned_stop(
        self, play, seconds: float, reported: list[str]
    ) -> None:
        """What ran is lost if it has no answer, freezes apart."""
        router = Router(state=RouterState.STOPPING, graceful_stops={1})
        scene = Scene(seconds, ((1, 1),), router=router, has_run=True)
        assert play(scene) == reported

    def test_paused_router(self, play) -> None:
        """A router that was paused meanwhile may be late."""
        assert not play(Scene(60, router=Router(resumed_at=3)))

    def test_router_that_was_paused_before(self, play) -> None:
        """A router that ran again when it was asked may not."""
        assert play(Scene(60, router=Router(resumed_at=1.9))) == [LATE]
