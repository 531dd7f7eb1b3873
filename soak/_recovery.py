"""Check that all routers serve all kinds of requests."""

from dataclasses import replace
from typing import Final

import trio

from soak._caller import Ask, Caller
from soak._observed_servers import SAMPLE_KEYS
from soak._router import Router
from soak._testbed import Testbed

_POLL_INTERVAL_SECONDS: Final = 0.2
_OK: Final = 200


async def wait_until_served(
    testbed: Testbed, phase: str, timeout: float
) -> float:
    """Wait until each router serves all keys, a claim and the newest route.

    Args:
        testbed: The routers, and the checker that a time-out is reported to.
        phase: Phase of the run, for the report.
        timeout: Maximum wait in seconds.

    Returns:
        Seconds until all was served; ``timeout`` if it was not.
    """
    began = trio.current_time()
    failures: list[str] = []
    with trio.move_on_after(timeout):
        async with trio.open_nursery() as nursery:
            for router in testbed.routers:
                nursery.start_soon(_check_router, testbed, router, failures)
        return trio.current_time() - began
    last = failures[-1] if failures else 'not ready'
    detail = f'{phase} in {timeout} s: {last}'
    testbed.checker.record_violation('not served again', detail)
    return timeout


async def _check_router(
    testbed: Testbed, router: Router, failures: list[str]
) -> None:
    await router.wait_until_ready()
    caller = Caller(router, testbed.checker)
    for request in _check_requests(router.name, testbed.operator.version):
        while True:
            fresh = replace(
                request, id=f'{request.id}-{trio.current_time():.6f}'
            )
            reply = await caller.send(fresh)
            if reply.status == _OK:
                break
            failures.append(f'{router.name} {request.path} {reply.status}')
            await trio.sleep(_POLL_INTERVAL_SECONDS)
    await caller.close()


def _check_requests(name: str, newest: int) -> list[Ask]:
    lookups = [
        Ask(f'{name}-all', 'GET', f'/lookups/{key}', key=key)
        for key in SAMPLE_KEYS
    ]
    return [
        *lookups,
        Ask(f'{name}-all', 'POST', '/claims/1', b'claim'),
        Ask(f'{name}-all', 'GET', f'/at-least-{newest}/x'),
    ]
