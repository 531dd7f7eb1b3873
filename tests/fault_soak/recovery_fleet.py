"""Fleet whose answers to the check of the recovery are given."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from trio.testing import MockClock

from soak._caller import Ask, Reply
from soak._freeze_watch import FreezeWatch
from soak._invariant_checker import InvariantChecker
from soak._observed_servers import SAMPLE_KEYS
from soak._recovery import Phase, wait_until_served

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


def served_from(seconds: float) -> IsServed:
    """Return a function that serves everything from some time on."""
    return lambda router, path, now: path != KEY_PATH or now >= seconds
