"""Coordination of one service's keys during one term."""

import math
from dataclasses import replace
from typing import Final

import trio

from carobwalk.keyspace._activation import Activation
from carobwalk.keyspace._coordinator_parts import CoordinatorParts
from carobwalk.keyspace._events import KeysAssigned, KeysGranted
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyRange
from carobwalk.keyspace._map_writer import MapWriter
from carobwalk.keyspace._move import BALANCING, Move
from carobwalk.keyspace._order_desk import OrderDesk
from carobwalk.keyspace._owned_map import OwnedMap, assignment
from carobwalk.keyspace._planner import Planner
from carobwalk.keyspace._renewals import Renewals
from carobwalk.keyspace._term import Term
from carobwalk.keyspace._view_builder import ViewBuilder
from carobwalk.model import ServiceName

# How long a grant may stay unwritten: a next coordinator would take the range
# for one that is still on its way.
_CONFIRM_SECONDS: Final = 0.5
_BALANCE_SECONDS: Final = 0.3
_GATHER_SECONDS: Final = 0.01


class ServiceCoordinator:
    """Assigns, grants and renews the keys of a service.

    Each assignment is in the store before its first grant.

    Args:
        service: The service.
        parts: What coordination needs.
        term: Time during which this process coordinates.
        desk: Sends orders.
        writer: Writes the map.
    """

    def __init__(
        self,
        service: ServiceName,
        parts: CoordinatorParts,
        term: Term,
        desk: OrderDesk,
        writer: MapWriter,
    ) -> None:
        self._service = service
        self._parts = parts
        self._term = term
        self._desk = desk
        self._writer = writer
        self._owned = OwnedMap(KeyMap(()))
        self._views = ViewBuilder(service, parts, desk.ledger)
        self._refused: list[KeyRange] = []
        self._activating: set[KeyRange] = set()
        self._wake = trio.Event()
        self._is_stopping = False
        self._has_news = False
        self._balance_at = -math.inf

    async def run(self, key_map: KeyMap) -> None:
        """Coordinate until the term is over.

        Args:
            key_map: The map as this process claimed it in the store.
        """
        self._owned.replace(key_map)
        if key_map.ranges:
            self._publish()
        renewals = Renewals(
            self._owned,
            self._desk,
            self._parts.orders,
            self._term,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(renewals.watch_doubt)
            while not self._term.is_over and not self._is_stopping:
                renewals.start(nursery)
                self._start_activations(nursery)
                self._publish_news()
                if self._term.is_valid:
                    await self._step()
                with trio.move_on_after(self._parts.orders.times.tick):
                    await self._wake.wait()
                    await trio.sleep(_GATHER_SECONDS)
                self._wake = trio.Event()
            nursery.cancel_scope.cancel()

    async def resign(self) -> None:
        """Stop, and leave the map to the next coordinator."""
        self._is_stopping = True
        self._wake.set()
        if self._term.is_valid and self._owned.written.ranges:
            await self._writer.write(
                self._owned.current(),
                is_settled=self._desk.ledger.is_settled,
            )

    async def _step(self) -> None:
        """Write down what was granted, and assign what needs an owner."""
        self._parts.orders.lives.refresh()
        based = self._owned.current()
        moves = self._plan(based)
        if not moves and not self._refused and not self._must_confirm():
            return
        changed = [assignment(based, move) for move in moves]
        # A fence that was refused is replaced by a higher one.
        changed.extend(replace(part, fence=0) for part in self._refused)
        written = await self._writer.write(based.assign(changed))
        if written is None:
            return
        self._refused.clear()
        self._owned.replace(written)
        self._publish()
        for move in moves:
            self._parts.events.emit(
                KeysAssigned.of(self._service, move, written.revision),
            )

    def _plan(self, key_map: KeyMap) -> tuple[Move, ...]:
        now = self._parts.clock.now()
        view = self._views.build(
            key_map,
            may_balance=now >= self._balance_at,
        )
        is_settled = self._views.are_servers_settled(view)
        if not key_map.ranges and not is_settled:
            return ()
        moves = Planner(view).plan()
        if any(move.cause in BALANCING for move in moves):
            self._balance_at = now + _BALANCE_SECONDS
        return moves

    def _must_confirm(self) -> bool:
        """Return whether a grant was not written for too long."""
        age = self._parts.clock.now() - self._owned.oldest_unwritten()
        return age >= _CONFIRM_SECONDS

    def _publish_news(self) -> None:
        """Tell the grants of a moment together: each telling costs a map."""
        if self._has_news:
            self._publish()

    def _publish(self) -> None:
        self._has_news = False
        self._parts.feed.publish(self._service, self._owned.current())

    def _start_activations(self, nursery: trio.Nursery) -> None:
        for part in self._owned.ungranted():
            if part not in self._activating:
                self._activating.add(part)
                nursery.start_soon(self._activate, part)

    async def _activate(self, part: KeyRange) -> None:
        began = self._parts.clock.now()
        activation = Activation(
            part,
            self._desk,
            self._parts.orders,
            self._parts.clock,
            lambda: self._owned.stands(part),
        )
        is_granted = await activation.run()
        self._activating.discard(part)
        if is_granted:
            self._owned.confirm(part, self._parts.clock.now())
            self._has_news = True
            self._parts.events.emit(
                KeysGranted(
                    service=self._service,
                    first=part.first,
                    last=part.last,
                    server=part.owner.server,
                    fence=part.fence,
                    with_handover=bool(activation.handover),
                    seconds=round(self._parts.clock.now() - began, 3),
                ),
            )
        elif activation.is_refused and self._owned.stands(part):
            self._refused.append(part)
        self._wake.set()
