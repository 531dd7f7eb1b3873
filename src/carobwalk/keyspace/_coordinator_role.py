"""Election of the coordinator, which is the holder of a lease in the store."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio

from carobwalk.keyspace._claimant import Claimant
from carobwalk.keyspace._coordinator_dependencies import CoordinatorDependencies
from carobwalk.keyspace._coordinator_record import COORDINATOR_NAME
from carobwalk.keyspace._grant_ledger import GrantLedger
from carobwalk.keyspace._key_reader import KeyReader
from carobwalk.keyspace._map_claim import claim_map
from carobwalk.keyspace._map_writer import MapWriter
from carobwalk.keyspace._order_sender import OrderSender
from carobwalk.keyspace._service_coordinator import ServiceCoordinator
from carobwalk.keyspace._term_events import TermStarted
from carobwalk.lease import Term, acquire_term, renew_lease
from carobwalk.model import Endpoint, ServiceName
from carobwalk.peer import encode_endpoint
from carobwalk.store import TransactionalStore

_JITTER_SECONDS = 0.08
_POLL_SECONDS = 0.2
# Hosts slower than this delay their candidacy in favour of faster hosts.
_FULL_SPEED = 0.8
_DELAY_PER_SLOWNESS_SECONDS = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class RoleDependencies:
    """Components and settings of the coordinator role.

    Args:
        own: Endpoint of this process.
        store: Key-value service.
        reader: Current coordinator and key maps.
        is_current: Returns whether the coordinator record is up to date.
        keyed_services: Returns the services whose keys have owners.
        coordination: Components shared by the coordinators of all services.
        speed: Processing capacity of this host; 1 is one whole processor.
    """

    own: Endpoint
    store: TransactionalStore
    reader: KeyReader
    is_current: Callable[[], bool]
    keyed_services: Callable[[], Iterable[ServiceName]]
    coordination: CoordinatorDependencies
    speed: float = 1


class CoordinatorRole:
    """Acquires the role when it is vacant and coordinates for one term.

    Args:
        dependencies: Components and settings of the role.
    """

    def __init__(self, dependencies: RoleDependencies) -> None:
        self._dependencies = dependencies
        self._coordinators_by_service: dict[
            ServiceName,
            ServiceCoordinator,
        ] = {}
        self._term: Term | None = None
        self._is_resigning = False

    async def run(self) -> None:
        """Stand for election and serve terms until cancelled."""
        while True:
            await self._wait_for_candidacy()
            term = await self._acquire_role()
            if term is not None:
                await self._serve_term(term)

    async def resign(self) -> None:
        """Resign the role so that another process can acquire it at once."""
        self._is_resigning = True
        term = self._term
        if term is None or not term.is_valid:
            return
        # The term may end, and the table change, during each call.
        for coordinator in tuple(self._coordinators_by_service.values()):
            await coordinator.resign()
        term.end()
        await self._dependencies.store.end_lease(term.lease)

    async def _wait_for_candidacy(self) -> None:
        """Wait until the role is vacant and this process may stand for it."""
        while not self._may_stand():
            with trio.move_on_after(_POLL_SECONDS):
                await self._dependencies.reader.changed.wait()
        jitter = random.random() * _JITTER_SECONDS
        await trio.sleep(jitter + _election_delay(self._dependencies.speed))

    def _may_stand(self) -> bool:
        dependencies = self._dependencies
        if self._is_resigning or not dependencies.is_current():
            return False
        if dependencies.reader.coordinator is not None:
            return False
        return any(dependencies.keyed_services())

    async def _acquire_role(self) -> Term | None:
        """Try to acquire the role.

        Returns:
            The new term, ``None`` if another process holds the role or the
            store failed.
        """
        if not self._may_stand():
            return None
        coordination = self._dependencies.coordination
        term = await acquire_term(
            self._dependencies.store,
            COORDINATOR_NAME,
            encode_endpoint(self._dependencies.own),
            coordination.orders.times,
            coordination.clock,
        )
        if term is None:
            await trio.sleep(_POLL_SECONDS)
        return term

    async def _serve_term(self, term: Term) -> None:
        self._term = term
        coordination = self._dependencies.coordination
        coordination.orders.failure_detector.clear()
        coordination.collector.warmups.start_term(lambda: term.is_valid)
        self._set_coordinating(is_coordinator=True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                renew_lease,
                term,
                self._dependencies.store,
                coordination.orders.times,
                coordination.clock,
                coordination.events,
            )
            await self._coordinate(term)
            nursery.cancel_scope.cancel()
        self._set_coordinating(is_coordinator=False)
        self._coordinators_by_service.clear()
        self._term = None

    def _set_coordinating(self, *, is_coordinator: bool) -> None:
        coordination = self._dependencies.coordination
        coordination.collector.is_coordinator = is_coordinator
        coordination.feed.is_coordinator = is_coordinator
        if not is_coordinator:
            coordination.feed.clear()

    async def _coordinate(self, term: Term) -> None:
        """Coordinate every keyed service until the term is over."""
        async with trio.open_nursery() as nursery:
            while not term.is_over:
                services = frozenset(self._dependencies.keyed_services())
                for service in services - set(self._coordinators_by_service):
                    await self._claim(service, term, nursery)
                await trio.sleep(_POLL_SECONDS)
            nursery.cancel_scope.cancel()

    async def _claim(
        self,
        service: ServiceName,
        term: Term,
        nursery: trio.Nursery,
    ) -> None:
        """Claim a service's key map and start to coordinate the service."""
        coordination = self._dependencies.coordination
        writer = MapWriter(
            self._dependencies.store,
            service,
            coordination.events,
            Claimant(self._dependencies.own, term.lease),
        )
        claim = await claim_map(writer, coordination.orders.times, term)
        if claim is None:
            return
        unanswered = claim.inherited.unanswered
        coordination.events.emit(TermStarted(term.lease, round(unanswered, 3)))
        ledger = GrantLedger(
            coordination.orders.times,
            coordination.clock,
            claim.inherited,
        )
        coordination.succession.register(service, term, ledger)
        if claim.predecessor is not None:
            nursery.start_soon(
                coordination.succession.ask_predecessor,
                claim.predecessor,
                service,
                term,
                ledger,
            )
        order_sender = OrderSender(coordination.orders, term, ledger)
        coordinator = ServiceCoordinator(
            service,
            coordination,
            term,
            order_sender,
            writer,
        )
        self._coordinators_by_service[service] = coordinator
        nursery.start_soon(coordinator.run, claim.key_map)


def _election_delay(speed: float) -> float:
    """Return the delay of a host's candidacy in seconds."""
    slowness = max(_FULL_SPEED / speed - 1, 0)
    return slowness * _DELAY_PER_SLOWNESS_SECONDS
