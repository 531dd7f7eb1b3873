"""The role of the process that assigns keys, held by a lease."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio
from result import Err

from carobwalk.keyspace._claimant import Claimant
from carobwalk.keyspace._coordinator_codec import (
    COORDINATOR_NAME,
    encode_coordinator,
)
from carobwalk.keyspace._coordinator_parts import CoordinatorParts
from carobwalk.keyspace._grant_ledger import GrantLedger
from carobwalk.keyspace._key_reader import KeyReader
from carobwalk.keyspace._lease_keeper import keep_lease
from carobwalk.keyspace._map_claim import claim_map
from carobwalk.keyspace._map_writer import MapWriter
from carobwalk.keyspace._order_desk import OrderDesk
from carobwalk.keyspace._service_coordinator import ServiceCoordinator
from carobwalk.keyspace._term import Term
from carobwalk.keyspace._term_events import TermStarted
from carobwalk.model import Endpoint, ServiceName
from carobwalk.store import LeaseId, TransactionalStore

_JITTER_SECONDS = 0.08
_PAUSE_SECONDS = 0.2
# Slower hosts than this let others take the role first.
_WANTED_SPEED = 0.8
_SLOWNESS_SECONDS = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class RoleParts:
    """What the role needs.

    Args:
        own: This process.
        store: The key-value service.
        reader: What the records say.
        is_current: Returns whether the records are followed.
        keyed_services: Returns the services whose keys have owners.
        coordination: What coordination needs.
        speed: Work that this host gets done, 1 being a whole processor.
    """

    own: Endpoint
    store: TransactionalStore
    reader: KeyReader
    is_current: Callable[[], bool]
    keyed_services: Callable[[], Iterable[ServiceName]]
    coordination: CoordinatorParts
    speed: float = 1


class CoordinatorRole:
    """Takes the role when nobody holds it, and coordinates.

    Args:
        parts: What the role needs.
    """

    def __init__(self, parts: RoleParts) -> None:
        self._parts = parts
        self._coordinators_by_service: dict[
            ServiceName,
            ServiceCoordinator,
        ] = {}
        self._term: Term | None = None
        self._is_leaving = False

    async def run(self) -> None:
        """Take part until cancelled."""
        while True:
            await self._wait_until_free()
            term = await self._take_role()
            if term is not None:
                await self._serve_term(term)

    async def leave(self) -> None:
        """Give the role up, so that another process takes it at once."""
        self._is_leaving = True
        term = self._term
        if term is None or not term.is_valid:
            return
        for coordinator in self._coordinators_by_service.values():
            await coordinator.resign()
        term.end()
        await self._parts.store.end_lease(term.lease)

    async def _wait_until_free(self) -> None:
        """Wait until no process holds the role and there is work."""
        while not self._is_free():
            with trio.move_on_after(_PAUSE_SECONDS):
                await self._parts.reader.changed.wait()
        jitter = random.random() * _JITTER_SECONDS
        await trio.sleep(jitter + _head_start(self._parts.speed))

    def _is_free(self) -> bool:
        parts = self._parts
        if self._is_leaving or not parts.is_current():
            return False
        if parts.reader.coordinator is not None:
            return False
        return any(parts.keyed_services())

    async def _take_role(self) -> Term | None:
        """Return a term if this process was first."""
        if not self._is_free():
            return None
        coordination = self._parts.coordination
        times = coordination.orders.times
        sent = coordination.clock.now()
        opened = await self._parts.store.open_lease(times.lease)
        if isinstance(opened, Err):
            await trio.sleep(_PAUSE_SECONDS)
            return None
        lease: LeaseId = opened.ok_value
        written = await self._parts.store.write(
            COORDINATOR_NAME,
            encode_coordinator(self._parts.own),
            0,
            lease,
        )
        if isinstance(written, Err):
            # An unanswered write that takes effect lapses with its lease.
            await self._parts.store.end_lease(lease)
            await trio.sleep(_PAUSE_SECONDS)
            return None
        return Term(lease, sent, times, coordination.clock)

    async def _serve_term(self, term: Term) -> None:
        self._term = term
        self._tell_coordinating(is_coordinator=True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                keep_lease, term, self._parts.store, self._parts.coordination
            )
            await self._coordinate(term)
            nursery.cancel_scope.cancel()
        self._tell_coordinating(is_coordinator=False)
        self._coordinators_by_service.clear()
        self._term = None

    def _tell_coordinating(self, *, is_coordinator: bool) -> None:
        coordination = self._parts.coordination
        coordination.collector.is_coordinator = is_coordinator
        coordination.feed.is_coordinator = is_coordinator
        if not is_coordinator:
            coordination.feed.clear()

    async def _coordinate(self, term: Term) -> None:
        """Coordinate each service until the term is over."""
        async with trio.open_nursery() as nursery:
            while not term.is_over:
                services = frozenset(self._parts.keyed_services())
                for service in services - set(self._coordinators_by_service):
                    await self._claim(service, term, nursery)
                await trio.sleep(_PAUSE_SECONDS)
            nursery.cancel_scope.cancel()

    async def _claim(
        self,
        service: ServiceName,
        term: Term,
        nursery: trio.Nursery,
    ) -> None:
        """Claim a service's map, and coordinate it from then on."""
        coordination = self._parts.coordination
        writer = MapWriter(
            self._parts.store,
            service,
            coordination.events,
            Claimant(self._parts.own, term.lease),
        )
        claim = await claim_map(writer, coordination.orders.times)
        if claim is None:
            return
        unanswered = claim.inherited.unanswered
        coordination.events.emit(TermStarted(term.lease, round(unanswered, 3)))
        ledger = GrantLedger(
            coordination.orders.times,
            coordination.clock,
            claim.inherited,
        )
        coordination.succession.begin(service, term, ledger)
        if claim.predecessor is not None:
            nursery.start_soon(
                coordination.succession.learn,
                claim.predecessor,
                service,
                ledger,
            )
        desk = OrderDesk(coordination.orders, term, ledger)
        coordinator = ServiceCoordinator(
            service,
            coordination,
            term,
            desk,
            writer,
        )
        self._coordinators_by_service[service] = coordinator
        nursery.start_soon(coordinator.run, claim.key_map)


def _head_start(speed: float) -> float:
    """Return the seconds that a host leaves to faster ones."""
    slowness = max(_WANTED_SPEED / speed - 1, 0)
    return slowness * _SLOWNESS_SECONDS
