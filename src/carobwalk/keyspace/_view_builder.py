"""What a coordinator plans from."""

import math
from typing import Final

from carobwalk.keyspace._coordinator_parts import CoordinatorParts
from carobwalk.keyspace._events import OwnerLost
from carobwalk.keyspace._grant_ledger import GrantLedger
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import ServerLife
from carobwalk.keyspace._planner import PlannerView
from carobwalk.keyspace._server_lives import life_of
from carobwalk.model import ServiceName

_REGISTRATION_SECONDS: Final = 0.8


class ViewBuilder:
    """Gathers what is known of a service's servers and load.

    Args:
        service: The service.
        parts: What coordination needs.
        ledger: Bounds on what grants may cause.
    """

    def __init__(
        self,
        service: ServiceName,
        parts: CoordinatorParts,
        ledger: GrantLedger,
    ) -> None:
        self._service = service
        self._parts = parts
        self._ledger = ledger
        self._lost: set[ServerLife] = set()
        self._seen: frozenset[ServerLife] = frozenset()
        self._seen_at = math.inf

    def build(self, key_map: KeyMap, *, may_balance: bool) -> PlannerView:
        """Return what a plan is made from.

        Args:
            key_map: Owners of all keys.
            may_balance: Whether keys may move for a better balance.
        """
        collector = self._parts.collector
        now = self._parts.clock.now()
        load = collector.load_of(self._service)
        load.refresh(now)
        usable = self._usable()
        return PlannerView(
            key_map=key_map,
            usable=usable,
            movable=frozenset(
                life
                for life in usable
                if self._ledger.free_after_release(life) <= now
            ),
            leaving=self._leaving(),
            load=load,
            may_balance=may_balance,
        )

    def are_servers_settled(self, view: PlannerView) -> bool:
        """Return whether no server has registered for a while.

        Keys that are divided while servers still start would move again with
        each of them.
        """
        now = self._parts.clock.now()
        usable = frozenset(view.usable)
        if usable != self._seen:
            self._seen = usable
            self._seen_at = now
        return now - self._seen_at >= _REGISTRATION_SECONDS

    def _usable(self) -> dict[ServerLife, float]:
        collector = self._parts.collector
        now = self._parts.clock.now()
        usable = {}
        for server in self._parts.orders.lives.registered(self._service):
            collector.refresh(server.slots)
            life = life_of(server)
            if not server.is_leaving and self._is_usable(life):
                seconds = collector.speeds.seconds(life, now)
                usable[life] = server.slots / seconds
        return usable

    def _leaving(self) -> frozenset[ServerLife]:
        servers = self._parts.orders.lives.registered(self._service)
        return frozenset(
            life_of(server) for server in servers if server.is_leaving
        )

    def _is_usable(self, life: ServerLife) -> bool:
        watch = self._parts.orders.watch
        if watch.is_usable(life):
            self._lost.discard(life)
            return True
        if life not in self._lost:
            self._lost.add(life)
            end = self._ledger.holds_until(life)
            left = max(end - self._parts.clock.now(), 0)
            cause = 'refused' if watch.is_dead(life) else 'silent'
            self._parts.events.emit(
                OwnerLost(life.server, life.born, cause, round(left, 3)),
            )
        return False
