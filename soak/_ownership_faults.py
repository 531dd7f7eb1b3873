"""Faults of grants and of the coordinator; importing it registers them."""

import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import TypeVar

import trio

from soak._fault_registry import FaultSet, fault
from soak._link import LinkState
from soak._router import Router, RouterState
from soak._server import SoakServer
from soak._testbed import Testbed
from standins.platform import KeyedBackend

_Item = TypeVar('_Item')

_STORE_REFUSALS = (
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.TOO_MANY_REQUESTS,
    LinkState.RESET,
    LinkState.SILENT,
)
_PATH_FAULTS = (
    LinkState.UNOPENED,
    LinkState.UNOPENED,
    LinkState.CUT_THERE,
    LinkState.CUT_BACK,
    LinkState.SILENT,
    LinkState.DELAYED,
)
_COORDINATOR_SHARE = 0.7
_MAX_LATENESS_SECONDS = 12.0
_MIN_LATENESS_SECONDS = 2.0
_MAX_RELEASE_DELAY_SECONDS = 3.0
_MIN_FAULT_SECONDS = 0.3
_MAX_FAULT_SECONDS = 3.5
_MAX_FREEZES = 4
_MAX_FREEZE_PAUSE_SECONDS = 0.8
_TAKEOVER_TIMEOUT_SECONDS = 4.0
_POLL_SECONDS = 0.01
# The lease of a coordinator that is refused ends about then.
_MAX_CUT_DELAY_SECONDS = 1.2
_MAX_REACTION_SECONDS = 0.4
_FREEZE_SHARE = 0.4
_LOST_REGISTRATION_SHARE = 0.25


def _duration(rng: random.Random) -> float:
    return rng.uniform(_MIN_FAULT_SECONDS, _MAX_FAULT_SECONDS)


def _some(rng: random.Random, items: Sequence[_Item]) -> list[_Item]:
    """Return at least one of the items."""
    return rng.sample(items, rng.randint(1, len(items))) if items else []


def _refuse(router: Router, refusal: HTTPStatus | LinkState) -> None:
    """Let the store refuse a router, or lose its calls."""
    if isinstance(refusal, HTTPStatus):
        router.gate.refusal = refusal
        # A connected watch would go on; a refusing store ends it.
        router.link.reset_connections()
    else:
        router.link.switch(refusal)


def _serve_again(router: Router) -> None:
    router.gate.refusal = None
    router.link.switch(LinkState.PASSING)


@asynccontextmanager
async def _cut_paths(
    testbed: Testbed,
    rng: random.Random,
    routers: list[Router],
    servers: list[SoakServer],
) -> AsyncIterator[None]:
    """Cut the links between routers and servers within the context."""
    names = [router.name for router in routers]
    for server in servers:
        state = rng.choice(_PATH_FAULTS)
        testbed.event_file.write(
            'cut', server=server.name, routers=names, state=state
        )
        server.switch_links(state, names)
    try:
        yield
    finally:
        for server in servers:
            testbed.event_file.write('healed', server=server.name)
            server.switch_links(LinkState.PASSING, names)


@fault('store-refuses', FaultSet.OWNERSHIP)
async def _store_refuses(testbed: Testbed, rng: random.Random) -> None:
    coordinator = testbed.coordinator()
    routers = _some(rng, testbed.routers)
    if coordinator is not None and rng.random() < _COORDINATOR_SHARE:
        routers = [coordinator]
    for router in routers:
        _refuse(router, rng.choice(_STORE_REFUSALS))
    await trio.sleep(_duration(rng))
    for refused in routers:
        _serve_again(refused)


@fault('path-cut', FaultSet.OWNERSHIP)
async def _path_cut(testbed: Testbed, rng: random.Random) -> None:
    coordinator = testbed.coordinator()
    others = [one for one in testbed.routers if one is not coordinator]
    routers = rng.choice((others, _some(rng, testbed.routers)))
    servers = _some(rng, testbed.keyed_servers)
    async with _cut_paths(testbed, rng, routers, servers):
        if rng.random() < _LOST_REGISTRATION_SHARE:
            servers[0].registration.lose()
        await trio.sleep(_duration(rng))
    servers[0].registration.regain()


@fault('late-orders', FaultSet.OWNERSHIP)
async def _late_orders(testbed: Testbed, rng: random.Random) -> None:
    for server in _some(rng, testbed.keyed_servers):
        backend = server.backend
        if not isinstance(backend, KeyedBackend):
            continue
        lateness = rng.uniform(_MIN_LATENESS_SECONDS, _MAX_LATENESS_SECONDS)
        fields = ('apply_delay', 'repeat_delay', 'release_delay')
        name = rng.choice(fields)
        if name == 'release_delay':
            lateness = rng.uniform(0, _MAX_RELEASE_DELAY_SECONDS)
        setattr(backend.holder, name, lateness)
        testbed.event_file.write(
            'late', server=server.name, what=name, seconds=lateness
        )
    await trio.sleep(_duration(rng))
    for affected in testbed.keyed_servers:
        affected.order_in_time()


@fault('freeze-series', FaultSet.OWNERSHIP)
async def _freeze_series(testbed: Testbed, rng: random.Random) -> None:
    for _ in range(rng.randint(2, _MAX_FREEZES)):
        router = testbed.coordinator() or rng.choice(testbed.routers)
        await _freeze(testbed, router, _duration(rng))
        await trio.sleep(rng.uniform(0, _MAX_FREEZE_PAUSE_SECONDS))


async def _freeze(testbed: Testbed, router: Router, seconds: float) -> None:
    if router.state is RouterState.RUNNING:
        testbed.event_file.write('freeze', router=router.name, seconds=seconds)
        await router.pause(seconds)
        testbed.event_file.write('thaw', router=router.name)


@fault('hot-keys-shift', FaultSet.OWNERSHIP)
async def _shift(testbed: Testbed, rng: random.Random) -> None:
    testbed.pattern.shift(rng)


@fault('takeover', FaultSet.OWNERSHIP)
async def take_over(
    testbed: Testbed,
    rng: random.Random,
    max_cut: float = _MAX_FAULT_SECONDS,
) -> None:
    """Refuse the coordinator, and cut its successor from servers.

    The load shifts meanwhile, so that keys move soon after the takeover.

    Args:
        testbed: Components of the run.
        rng: Source of the details.
        max_cut: Longest time in seconds from the takeover until healing.
    """
    coordinator = testbed.coordinator()
    if coordinator is None:
        return
    testbed.event_file.write('refuse', router=coordinator.name)
    _refuse(coordinator, rng.choice(_STORE_REFUSALS))
    async with trio.open_nursery() as nursery:
        if rng.random() < _FREEZE_SHARE:
            frozen = rng.choice(testbed.routers)
            nursery.start_soon(_freeze_later, testbed, frozen, rng)
        await trio.sleep(rng.uniform(0, _MAX_CUT_DELAY_SECONDS))
        await _cut_successor(testbed, rng, coordinator, max_cut)
    _serve_again(coordinator)


async def _cut_successor(
    testbed: Testbed,
    rng: random.Random,
    coordinator: Router,
    max_cut: float,
) -> None:
    """Cut all other routers from servers until after the takeover."""
    others = [one for one in testbed.routers if one is not coordinator]
    servers = _some(rng, testbed.keyed_servers)
    async with _cut_paths(testbed, rng, others, servers):
        with trio.move_on_after(_TAKEOVER_TIMEOUT_SECONDS):
            while testbed.coordinator() in {coordinator, None}:
                await trio.sleep(_POLL_SECONDS)
        testbed.pattern.shift(rng)
        brief = rng.uniform(0, _MAX_REACTION_SECONDS)
        long = rng.uniform(_MIN_FAULT_SECONDS, max_cut)
        await trio.sleep(rng.choice((brief, long)))


async def _freeze_later(
    testbed: Testbed, router: Router, rng: random.Random
) -> None:
    await trio.sleep(rng.uniform(0, 2 * _MAX_CUT_DELAY_SECONDS))
    await _freeze(testbed, router, _duration(rng))
