"""A store that is restored from an older copy; importing registers it."""

import random

import trio

from soak._fault_registry import FaultSet, fault
from soak._faults import make_schedule
from soak._testbed import Testbed
from standins.platform import restore, take_copy

__all__ = ('make_schedule',)

_MIN_AGE_SECONDS = 0.5
_MAX_AGE_SECONDS = 4.0
_MAX_DOWNTIME_SECONDS = 1.0


@fault('store-restored', FaultSet.RESTORES)
async def _restore(testbed: Testbed, rng: random.Random) -> None:
    store = testbed.store
    copy = take_copy(store)
    await trio.sleep(rng.uniform(_MIN_AGE_SECONDS, _MAX_AGE_SECONDS))
    store.is_down = True
    store.records.notify()
    await trio.sleep(rng.uniform(0, _MAX_DOWNTIME_SECONDS))
    restore(store, copy)
    store.is_down = False
