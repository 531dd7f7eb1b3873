"""The role of the process that assigns keys, held by a lease."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio
from result import Err

from carobwalk.keyspace._codec import (
    COORDINATOR_NAME,
    encode_coordinator,
    is_settled,
)
from carobwalk.keyspace._events import TermEnded, TermInDoubt, TermStarted
from carobwalk.keyspace._grant_ledger import GrantLedger, Inherited
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_reader import KeyReader
from carobwalk.keyspace._map_writer import MapWriter
from carobwalk.keyspace._order_desk import OrderDesk
from carobwalk.keyspace._service_coordinator import (
    CoordinatorParts,
    ServiceCoordinator,
)
from carobwalk.keyspace._term import Term
from carobwalk.model import Endpoint, ServiceName
from carobwalk.store import LeaseId, LeaseLost, TransactionalStore

_JITTER_SECONDS = 0.08
_PAUSE_SECONDS = 0.2
_RETRY_SECONDS = 0.15
_SETTLED_SLACK_SECONDS = 0.1


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
    """

    own: Endpoint
    store: TransactionalStore
    reader: KeyReader
    is_current: Callable[[], bool]
    keyed_services: Callable[[], Iterable[ServiceName]]
    coordination: CoordinatorParts


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
        await trio.sleep(random.random() * _JITTER_SECONDS)

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
        self._parts.coordination.collector.is_coordinator = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_lease, term)
            await self._coordinate(term)
            nursery.cancel_scope.cancel()
        self._parts.coordination.collector.is_coordinator = False
        self._coordinators_by_service.clear()
        self._term = None

    async def _keep_lease(self, term: Term) -> None:
        """Renew the lease until it is lost."""
        coordination = self._parts.coordination
        times = coordination.orders.times
        pause = times.keep_alive
        while not term.is_over:
            await trio.sleep(pause)
            pause = times.keep_alive
            sent = coordination.clock.now()
            failure: object = 'no answer in time'
            # A renewal that is answered late is worth less than the next one.
            with trio.move_on_after(times.doubt):
                kept = await self._parts.store.keep_alive(term.lease)
                if not isinstance(kept, Err):
                    term.renew(sent)
                    continue
                failure = kept.err_value
            if isinstance(failure, LeaseLost):
                term.end()
                self._log_end(term, 'lease lost')
                return
            coordination.events.emit(
                TermInDoubt(term.lease, round(term.left, 3), repr(failure)),
            )
            pause = _RETRY_SECONDS

    async def _coordinate(self, term: Term) -> None:
        """Coordinate each service until the term is over."""
        async with trio.open_nursery() as nursery:
            while not term.is_over:
                for service in tuple(self._parts.keyed_services()):
                    if service not in self._coordinators_by_service:
                        await self._claim(service, term, nursery)
                await trio.sleep(_PAUSE_SECONDS)
            nursery.cancel_scope.cancel()

    async def _claim(
        self,
        service: ServiceName,
        term: Term,
        nursery: trio.Nursery,
    ) -> None:
        """Claim a service's map, which shuts earlier coordinators out."""
        coordination = self._parts.coordination
        writer = MapWriter(self._parts.store, service, coordination.events)
        read = await writer.read()
        if isinstance(read, Err):
            return
        record = read.ok_value
        key_map = writer.decode(record)
        settled = record is not None and is_settled(record.content)
        if key_map.ranges:
            claimed = await writer.write(key_map)
            if claimed is None or claimed.ranges != key_map.ranges:
                return
            key_map = claimed
        inherited = self._inherited(key_map, is_settled=settled)
        coordination.events.emit(
            TermStarted(term.lease, round(inherited.unanswered, 3)),
        )
        ledger = GrantLedger(
            coordination.orders.times,
            coordination.clock,
            inherited,
        )
        coordinator = ServiceCoordinator(
            service,
            coordination,
            term,
            OrderDesk(coordination.orders, term, ledger),
            writer,
        )
        self._coordinators_by_service[service] = coordinator
        nursery.start_soon(coordinator.run, key_map)

    def _inherited(self, key_map: KeyMap, *, is_settled: bool) -> Inherited:
        times = self._parts.coordination.orders.times
        if not key_map.ranges and not key_map.revision:
            return Inherited(holds=0, unanswered=0)
        if is_settled:
            return Inherited(
                holds=times.inherited,
                unanswered=_SETTLED_SLACK_SECONDS,
            )
        return Inherited(holds=times.inherited, unanswered=times.inherited)

    def _log_end(self, term: Term, cause: str) -> None:
        self._parts.coordination.events.emit(TermEnded(term.lease, cause))
