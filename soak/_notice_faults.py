"""Servers that limit requests or announce their end; importing registers them.

Each says so in its answers only, at first.
"""

import random

import trio

from soak._fault_registry import FaultSet, fault
from soak._restore_faults import make_schedule
from soak._testbed import Testbed
from standins.platform import Fault

__all__ = ('make_schedule',)

_MIN_LIMIT = 2.0
_MAX_LIMIT = 15.0
_MIN_LIMIT_SECONDS = 4.0
_MAX_LIMIT_SECONDS = 8.0
_MIN_WAIT_SECONDS = 1.0
_MAX_WAIT_SECONDS = 3.0
_MAX_REFUSALS = 4
_MAX_SILENT_LEAVE_SECONDS = 3.0


@fault('server-limit', FaultSet.NOTICES)
async def _limit(testbed: Testbed, rng: random.Random) -> None:
    backend = rng.choice(testbed.servers).backend
    if backend is not None:
        backend.notices.limit = rng.uniform(_MIN_LIMIT, _MAX_LIMIT)
        await trio.sleep(rng.uniform(_MIN_LIMIT_SECONDS, _MAX_LIMIT_SECONDS))
        backend.notices.limit = None


@fault('server-wait', FaultSet.NOTICES)
async def _wait(testbed: Testbed, rng: random.Random) -> None:
    backend = rng.choice(testbed.servers).backend
    if backend is not None:
        wait_seconds = rng.uniform(_MIN_WAIT_SECONDS, _MAX_WAIT_SECONDS)
        backend.notices.retry_after = wait_seconds
        backend.fault = Fault.SHED
        backend.remaining_faults = rng.randint(1, _MAX_REFUSALS)
        await trio.sleep(wait_seconds)
        backend.notices.retry_after = None


@fault('server-announces-leave', FaultSet.NOTICES)
async def _announce(testbed: Testbed, rng: random.Random) -> None:
    server = rng.choice(testbed.servers)
    if server.backend is not None:
        server.backend.notices.is_leaving = True
        await trio.sleep(rng.uniform(0, _MAX_SILENT_LEAVE_SECONDS))
        await server.leave()
