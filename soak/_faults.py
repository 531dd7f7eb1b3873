"""Fault kinds; importing this module registers them."""

import random

import trio

from soak._fault_registry import fault, make_schedule
from soak._link import LinkState
from soak._router import RouterState
from soak._testbed import Testbed
from standins.platform import Fault, KeyedBackend

__all__ = ('make_schedule',)

_LINK_FAULTS = tuple(
    state
    for state in LinkState
    if state not in {LinkState.PASSING, LinkState.UNOPENED}
)
# Without the faults added later, so that seeds keep their details.
_SERVER_FAULTS = tuple(
    fault for fault in Fault if fault not in {Fault.NONE, Fault.MISDIRECT}
)
_MIN_FAULT_SECONDS = 0.3
_MAX_FAULT_SECONDS = 3.0
_MAX_DOWNTIME_SECONDS = 1.5
_GRANT_DELAY_SECONDS = 1.0
_MAX_FAULTY_REQUESTS = 12
_MAX_CONFIGURATIONS = 4
_CONFIGURATION_INTERVAL_SECONDS = 0.15


def _duration(rng: random.Random) -> float:
    return rng.uniform(_MIN_FAULT_SECONDS, _MAX_FAULT_SECONDS)


@fault('router-kill')
async def _kill(testbed: Testbed, rng: random.Random) -> None:
    router = rng.choice(testbed.routers)
    downtime = rng.uniform(0, _MAX_DOWNTIME_SECONDS)
    state = router.state
    if state is RouterState.GONE:
        return
    await router.kill()
    # A router that was being stopped is restarted by that fault.
    if state is not RouterState.STOPPING:
        await trio.sleep(downtime)
        await router.start()


@fault('router-kill-all')
async def _kill_all(testbed: Testbed, rng: random.Random) -> None:
    running = [
        router
        for router in testbed.routers
        if router.state is RouterState.RUNNING
    ]
    async with trio.open_nursery() as nursery:
        for router in running:
            nursery.start_soon(router.kill)
    async with trio.open_nursery() as nursery:
        for router in running:
            nursery.start_soon(router.start)


@fault('router-stop')
async def _stop(testbed: Testbed, rng: random.Random) -> None:
    router = rng.choice(testbed.routers)
    if router.state is RouterState.RUNNING:
        await router.stop()
        await router.start()


@fault('router-pause')
async def _pause(testbed: Testbed, rng: random.Random) -> None:
    router = rng.choice(testbed.routers)
    if router.state is RouterState.RUNNING:
        await router.pause(_duration(rng))


@fault('router-reload')
async def _reload(testbed: Testbed, rng: random.Random) -> None:
    router = rng.choice(testbed.routers)
    if router.state is RouterState.RUNNING:
        router.reload()


@fault('store-link')
async def _store_link(testbed: Testbed, rng: random.Random) -> None:
    router = rng.choice(testbed.routers)
    router.link.switch(rng.choice(_LINK_FAULTS))
    await trio.sleep(_duration(rng))
    router.link.switch(LinkState.PASSING)


@fault('store-down')
async def _store_down(testbed: Testbed, rng: random.Random) -> None:
    testbed.store.is_down = True
    testbed.store.records.notify()
    await trio.sleep(_duration(rng))
    testbed.store.is_down = False


@fault('store-loses-answers')
async def _lost_answers(testbed: Testbed, rng: random.Random) -> None:
    testbed.store.loses_replies = True
    await trio.sleep(_duration(rng))
    testbed.store.loses_replies = False


@fault('store-compacts')
async def _compact(testbed: Testbed, rng: random.Random) -> None:
    testbed.store.records.compact()


@fault('server-restart')
async def _restart(testbed: Testbed, rng: random.Random) -> None:
    rng.choice(testbed.servers).restart()


@fault('server-leave')
async def _leave(testbed: Testbed, rng: random.Random) -> None:
    await rng.choice(testbed.servers).leave()


@fault('server-lapse')
async def _lapse(testbed: Testbed, rng: random.Random) -> None:
    server = rng.choice(testbed.servers)
    server.registration.lose()
    await trio.sleep(_duration(rng))
    server.heal()


@fault('server-link')
async def _server_link(testbed: Testbed, rng: random.Random) -> None:
    server = rng.choice(testbed.servers)
    server.switch_links(rng.choice(_LINK_FAULTS))
    await trio.sleep(_duration(rng))
    server.switch_links(LinkState.PASSING)


@fault('server-bad-answers')
async def _bad_answers(testbed: Testbed, rng: random.Random) -> None:
    backend = rng.choice(testbed.servers).backend
    if backend is not None:
        backend.fault = rng.choice(_SERVER_FAULTS)
        backend.remaining_faults = rng.randint(1, _MAX_FAULTY_REQUESTS)


@fault('server-late-grants')
async def _late_grants(testbed: Testbed, rng: random.Random) -> None:
    backend = rng.choice(testbed.servers).backend
    if isinstance(backend, KeyedBackend):
        backend.holder.apply_delay = _GRANT_DELAY_SECONDS
        await trio.sleep(_duration(rng))
        backend.holder.apply_delay = None


@fault('new-configurations')
async def _configurations(testbed: Testbed, rng: random.Random) -> None:
    for _ in range(rng.randint(1, _MAX_CONFIGURATIONS)):
        testbed.operator.write_next()
        await trio.sleep(_CONFIGURATION_INTERVAL_SECONDS)


@fault('old-configuration')
async def _old_configuration(testbed: Testbed, rng: random.Random) -> None:
    testbed.operator.write(1)
    await trio.sleep(_duration(rng))
    testbed.operator.write(testbed.operator.version)
