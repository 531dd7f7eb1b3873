"""Collection of the planner's input."""

import math
from typing import Final

from carobwalk.directory import BackendServer, ServerIncarnation
from carobwalk.keyspace._coordinator_dependencies import CoordinatorDependencies
from carobwalk.keyspace._evacuated_keys import EvacuatedKeysLog
from carobwalk.keyspace._events import OwnerLost
from carobwalk.keyspace._grant_ledger import GrantLedger
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._overloads import admitted_shares
from carobwalk.keyspace._planner import PlannerView
from carobwalk.model import ServiceName

_REGISTRATION_QUIET_SECONDS: Final = 0.8


class ViewBuilder:
    """Collects the state of a service's servers and load for the planner.

    Args:
        service: Name of the service.
        dependencies: Components shared by the coordinators of all services.
        ledger: Bounds on how long sent grants may be in force.
    """

    def __init__(
        self,
        service: ServiceName,
        dependencies: CoordinatorDependencies,
        ledger: GrantLedger,
    ) -> None:
        self._service = service
        self._dependencies = dependencies
        self._ledger = ledger
        self._lost: set[ServerIncarnation] = set()
        self._last_usable: frozenset[ServerIncarnation] = frozenset()
        self._usable_changed_at = math.inf
        self._evacuated_keys = EvacuatedKeysLog(
            service,
            dependencies.locations.evacuations,
            dependencies.orders.incarnations,
            dependencies.clock,
            dependencies.events,
        )

    def build(self, key_map: KeyMap, *, may_balance: bool) -> PlannerView:
        """Return the planner's input.

        Args:
            key_map: Owners of all keys.
            may_balance: Whether keys may move to balance the load.
        """
        collector = self._dependencies.collector
        now = self._dependencies.clock.now()
        load = collector.loads.of(self._service)
        usable = self._usable()
        misplaced = self._dependencies.locations.misplaced(
            self._service,
            self._dependencies.orders.incarnations.registered(self._service),
            usable,
        )
        for excluded in usable.keys() & misplaced.keys():
            usable.pop(excluded)
        self._evacuated_keys.record(key_map)
        load.refresh(now, len(usable))
        failure_detector = self._dependencies.orders.failure_detector
        # Moves to or from servers that are soon warm would come too late.
        unanswering = frozenset(
            incarnation
            for incarnation in usable
            if failure_detector.has_unanswered_order(incarnation)
            or collector.warmups.is_soon_warm(incarnation)
        )
        return PlannerView(
            key_map=key_map,
            usable=usable,
            movable=frozenset(
                incarnation
                for incarnation in usable.keys() - unanswering
                if self._ledger.free_after_release(incarnation) <= now
            ),
            unanswering=unanswering,
            leaving=self._leaving(),
            misplaced=misplaced,
            load=load,
            may_balance=may_balance,
            by_speed=collector.is_by_speed(self._service),
        )

    def tell_overloads(self, view: PlannerView) -> None:
        """Let all processes know which owners can't run all requests."""
        collector = self._dependencies.collector
        demand = collector.demands.of(self._service)
        demand.refresh(self._dependencies.clock.now())
        collector.overloads.replace(
            self._service,
            admitted_shares(view.key_map, demand, view.usable),
        )
        collector.warmups.record_keys(
            self._service, view.key_map, (view.load, demand)
        )

    def may_assign_first(self, view: PlannerView) -> bool:
        """Return whether keys without a recorded owner may be assigned.

        Keys that are assigned while servers are still starting would move
        again with each server that registers. Grants of a record that was
        damaged may still be in force, also at servers that are leaving, silent
        or not registered.
        """
        are_settled = self._are_servers_settled(view)
        return are_settled and not view.key_map.ranges and self._hold_nothing()

    def _hold_nothing(self) -> bool:
        state = self._ledger.state()
        return not state.grants and state.holds <= 0

    def _are_servers_settled(self, view: PlannerView) -> bool:
        now = self._dependencies.clock.now()
        usable = frozenset(view.usable)
        if usable != self._last_usable:
            self._last_usable = usable
            self._usable_changed_at = now
        return now - self._usable_changed_at >= _REGISTRATION_QUIET_SECONDS

    def _usable(self) -> dict[ServerIncarnation, float]:
        collector = self._dependencies.collector
        now = self._dependencies.clock.now()
        usable = {}
        for server in self._dependencies.orders.incarnations.registered(
            self._service
        ):
            collector.refresh(server.slots)
            incarnation = server.incarnation
            if not self._is_leaving(server) and self._is_usable(incarnation):
                seconds = collector.seconds(incarnation, now)
                capacity = collector.notices.capacity(
                    incarnation, server.slots / seconds
                )
                usable[incarnation] = collector.warmups.capacity(
                    server, capacity
                )
        return usable

    def _leaving(self) -> frozenset[ServerIncarnation]:
        servers = self._dependencies.orders.incarnations.registered(
            self._service
        )
        return frozenset(
            server.incarnation for server in servers if self._is_leaving(server)
        )

    def _is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server is leaving by registry or own answers."""
        notices = self._dependencies.collector.notices
        return server.is_leaving or notices.is_leaving(server.incarnation)

    def _is_usable(self, incarnation: ServerIncarnation) -> bool:
        failure_detector = self._dependencies.orders.failure_detector
        if failure_detector.is_usable(incarnation):
            self._lost.discard(incarnation)
            return True
        if incarnation not in self._lost:
            self._lost.add(incarnation)
            end = self._ledger.holds_until(incarnation)
            left = max(end - self._dependencies.clock.now(), 0)
            has_ended = failure_detector.has_ended(incarnation)
            cause = 'ended' if has_ended else 'silent'
            self._dependencies.events.emit(
                OwnerLost(
                    incarnation.server, incarnation.born, cause, round(left, 3)
                ),
            )
        return False
