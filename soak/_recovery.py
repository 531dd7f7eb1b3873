"""Check that all routers serve all kinds of requests."""

import math
from dataclasses import dataclass, replace
from itertools import islice
from typing import Final

import trio

from soak._caller import Ask, Caller
from soak._observed_servers import SAMPLE_KEYS
from soak._recovery_bound import RecoveryBound
from soak._router import Router
from soak._testbed import Testbed

_POLL_INTERVAL_SECONDS: Final = 0.2
_STAGGER_SECONDS: Final = 0.05
# As many as a router sends at once to one server, 2 beyond its 4 slots: with
# more, it refuses requests of the check if one server owns all keys.
MAX_IN_FLIGHT: Final = 6
_MAX_REPORTED_REQUESTS: Final = 6
_OK: Final = 200


@dataclass(frozen=True, slots=True)
class Phase:
    """Phase of a run at whose end all requests have to be served.

    Args:
        name: Name for the report.
        timeout: Time in seconds within which they have to be served, counted
            from the end of the last fault, freezes of this process included.
        repeated_after: Time in seconds after which what was served before
            has to be served once more, within the same timeout: a key may
            lose its owner a little later than the last fault.
    """

    name: str
    timeout: float
    repeated_after: float = 0


async def wait_until_served(testbed: Testbed, phase: Phase) -> float:
    """Wait until each router serves all keys, a claim and the newest route.

    Requests are sent concurrently, each until it is served, so that slow ones
    do not add up.

    Args:
        testbed: The routers, and the checker that a time-out is reported to.
        phase: Phase of the run.

    Returns:
        Seconds until all was served, and served on; until the end of the time
        for that if it was not.
    """
    bound = RecoveryBound(phase.timeout, testbed.freeze_watch)
    check = _ServiceCheck(testbed, phase)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_after, bound, nursery.cancel_scope)
        await check.run()
        await testbed.freeze_watch.catch_up()
        nursery.cancel_scope.cancel()
    if check.completed_at < bound.ends_at:
        return check.served_at - bound.began_at
    seconds = bound.ends_at - bound.began_at
    testbed.checker.record_violation(
        'not served again',
        f'{phase.name} in {seconds:.1f} s: {check.describe_unserved()}; '
        f'freezes of the soak: {bound.describe_freezes()}',
    )
    return seconds


async def _cancel_after(bound: RecoveryBound, scope: trio.CancelScope) -> None:
    await bound.wait()
    scope.cancel()


class _ServiceCheck:
    """Sends requests of all kinds to all routers until they are served."""

    def __init__(self, testbed: Testbed, phase: Phase) -> None:
        self._testbed = testbed
        self.completed_at = math.inf
        self.served_at = trio.current_time()
        self._repeated_at = self.served_at + phase.repeated_after
        self._causes_by_request: dict[str, str] = {}
        self._limits_by_router = {
            router.name: trio.Semaphore(MAX_IN_FLIGHT)
            for router in testbed.routers
        }

    async def run(self) -> None:
        """Wait until all is served, and served on."""
        async with trio.open_nursery() as nursery:
            for router in self._testbed.routers:
                nursery.start_soon(self._check_router, router)
        self.completed_at = trio.current_time()

    def describe_unserved(self) -> str:
        """Return the requests that are not served, with their last status."""
        causes = self._causes_by_request
        if not causes:
            return 'all was served too late'
        first = [
            f'{request} {cause}'
            for request, cause in islice(causes.items(), _MAX_REPORTED_REQUESTS)
        ]
        return f'{len(causes)} requests: {", ".join(first)}'

    async def _check_router(self, router: Router) -> None:
        self._causes_by_request[router.name] = 'not ready'
        await router.wait_until_ready()
        self._causes_by_request.pop(router.name)
        requests = _check_requests(router.name, self._testbed.operator.version)
        async with trio.open_nursery() as nursery:
            for number, request in enumerate(requests):
                described = _describe(router, request)
                self._causes_by_request[described] = 'unanswered'
                delay = number * _STAGGER_SECONDS
                nursery.start_soon(self._check_request, router, request, delay)

    async def _check_request(
        self, router: Router, request: Ask, delay: float
    ) -> None:
        await trio.sleep(delay)
        await self._wait_until_served(router, request)
        self.served_at = trio.current_time()
        repeated_at = self._repeated_at + delay
        if self.served_at < repeated_at:
            await trio.sleep_until(repeated_at)
            if await self._wait_until_served(router, request):
                self.served_at = trio.current_time()
        self._causes_by_request.pop(_describe(router, request))

    async def _wait_until_served(self, router: Router, request: Ask) -> int:
        """Send a request until it is served; return how often it was not."""
        testbed = self._testbed
        caller = Caller(router, testbed.checker, testbed.freeze_watch)
        failures = 0
        try:
            while not await self._is_served(caller, router, request):
                failures += 1
                await trio.sleep(_POLL_INTERVAL_SECONDS)
        finally:
            await caller.close()
        return failures

    async def _is_served(
        self, caller: Caller, router: Router, request: Ask
    ) -> bool:
        async with self._limits_by_router[router.name]:
            time = trio.current_time()
            fresh = replace(request, id=f'{request.id}-{time:.6f}')
            reply = await caller.send(fresh)
        cause = str(reply.status)
        self._causes_by_request[_describe(router, request)] = cause
        return reply.status == _OK


def _describe(router: Router, request: Ask) -> str:
    return f'{router.name} {request.path}'


def _check_requests(name: str, newest: int) -> list[Ask]:
    lookups = [
        Ask(f'{name}-all-{key}', 'GET', f'/lookups/{key}', key=key)
        for key in SAMPLE_KEYS
    ]
    return [
        *lookups,
        Ask(f'{name}-all-claim', 'POST', '/claims/1', b'claim'),
        Ask(f'{name}-all-newest', 'GET', f'/at-least-{newest}/x'),
    ]
