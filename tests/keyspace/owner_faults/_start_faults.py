"""Faults while the keys of a service get their first owners."""

import math
from collections.abc import Callable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager
from types import MappingProxyType
from typing import Final

import trio

from carobwalk.model import ServiceName
from standins.platform import KeyHolder, MemoryOrderChannel
from tests.keyspace.key_traffic import CHECKED_KEYS
from tests.keyspace.owner_faults._kinds import fault
from tests.keyspace.owner_faults._target import (
    SERVERS,
    FaultTarget,
    pause,
)
from tests.keyspace.simulated_fleet import Router, make_server

MOST_SERVICES: Final = 4
# Least and longest delay of a late write, in seconds. The lease of its writer
# lapses after 1.5 s, and its successor writes 0.8 s after its election.
_LATE_SECONDS: Final = (0.8, 3.5)
# When the trouble of the first coordinator begins, in seconds: before the first
# map is written. That of the later ones begins around their first writes.
_FIRST_TROUBLE_SECONDS: Final = (0, 1)
_LATER_TROUBLE_SECONDS: Final = (0.4, 1.6)
_POLL_SECONDS: Final = 0.02
_LONGEST_VACANCY_SECONDS: Final = 4.0
# From the beginning of a trouble: a frozen process does not notice the end.
_LONGEST_TERM_SECONDS: Final = 1.7

StoreTrouble = Callable[[Router, float], AbstractContextManager[None]]


@fault('first-map-series')
async def first_map_series(target: FaultTarget) -> None:
    """The role passes on in series while the store fails its holders.

    Some servers are unreachable for some of the successors.
    """
    generator = target.generator
    router: Router | None = None
    async with trio.open_nursery() as nursery:
        for number in range(generator.randrange(2, 4)):
            router = await _next_coordinator(target, router)
            if router is None:
                return
            name = generator.choice(tuple(_TROUBLES_BY_NAME))
            if number:
                await pause(target, *_LATER_TROUBLE_SECONDS)
            else:
                await pause(target, *_FIRST_TROUBLE_SECONDS)
                name = generator.choice((name, 'late-writes'))
            delay = generator.uniform(*_LATE_SECONDS)
            target.note(f'{name} {router.name} {delay:.3f}')
            with _TROUBLES_BY_NAME[name](router, delay):
                await _wait_for_end(router)
                if generator.randrange(3):
                    nursery.start_soon(_block_servers, target)
                await _next_coordinator(target, router)
            target.note(f'{name} {router.name} ends')


@fault('service-added')
async def service_added(target: FaultTarget) -> None:
    """A keyed service is added while the role passes on in series."""
    books_by_service = target.fleet.books_by_service
    if len(books_by_service) == MOST_SERVICES:
        return
    name = ServiceName(f'added-{len(books_by_service)}')
    target.note(f'service-added {name}')
    _add_service(target, name)
    await first_map_series(target)


def _add_service(target: FaultTarget, name: ServiceName) -> None:
    """Add a keyed service with servers of its own."""
    fleet = target.fleet
    assert fleet.nursery is not None
    book = MemoryOrderChannel(CHECKED_KEYS)
    book.reach.checks_incarnation = False
    book.use_nursery(fleet.nursery)
    first = SERVERS * len(fleet.books_by_service)
    fleet.books_by_service[name] = book
    for number in range(first, first + SERVERS):
        server = make_server(number, service=name)
        book.holders_by_id[server.id] = KeyHolder(born=1)
        fleet.registry.put(server, 1)


async def _next_coordinator(
    target: FaultTarget, previous: Router | None
) -> Router | None:
    """Return a coordinator other than the previous one, once there is one."""
    with trio.move_on_after(_LONGEST_VACANCY_SECONDS):
        while True:
            found = [
                router
                for router in target.leading_routers()
                if router is not previous
            ]
            if found:
                return found[-1]
            await trio.sleep(_POLL_SECONDS)
    return None


async def _wait_for_end(router: Router) -> None:
    """Wait until a process regards its term as over."""
    with trio.move_on_after(_LONGEST_TERM_SECONDS):
        while router.is_coordinating:
            await trio.sleep(_POLL_SECONDS)


async def _block_servers(target: FaultTarget) -> None:
    """Make some servers unreachable for processes and callers."""
    blocked = []
    for book in target.fleet.books_by_service.values():
        servers = sorted(book.holders_by_id)
        count = target.generator.randrange(1, len(servers))
        for server in target.generator.sample(servers, count):
            blocked.append((book, server))
    names = ', '.join(server for _, server in blocked)
    target.note(f'unreachable {names}')
    for book, server in blocked:
        book.holders_by_id[server].is_unresponsive = True
    await pause(target, 2, 8)
    target.note(f'reachable {names}')
    for book, server in blocked:
        book.holders_by_id[server].is_unresponsive = False


@contextmanager
def _late_writes(router: Router, delay: float) -> Iterator[None]:
    """Writes are not answered, and done seconds later."""
    router.link.write_delay = delay
    yield
    router.link.write_delay = None


def _lost_writes(router: Router, _delay: float) -> AbstractContextManager[None]:
    """Writes are not answered and never done."""
    return _late_writes(router, math.inf)


@contextmanager
def _lost_answers(router: Router, _delay: float) -> Iterator[None]:
    """Writes are done and not answered."""
    router.link.loses_answers = True
    yield
    router.link.loses_answers = False


@contextmanager
def _cut(router: Router, _delay: float) -> Iterator[None]:
    """The store turns the process away."""
    router.link.is_cut = True
    yield
    router.link.is_cut = False


@contextmanager
def _frozen(router: Router, _delay: float) -> Iterator[None]:
    """The process is frozen until it is succeeded."""
    router.gate.freeze()
    yield
    router.gate.thaw()


_TROUBLES_BY_NAME: Final[Mapping[str, StoreTrouble]] = MappingProxyType(
    {
        'late-writes': _late_writes,
        'lost-writes': _lost_writes,
        'lost-answers': _lost_answers,
        'cut': _cut,
        'frozen': _frozen,
    }
)
