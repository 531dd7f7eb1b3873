"""Coordination of one service's keys for one term."""

import math
from dataclasses import replace
from typing import Final

import trio

from carobwalk.keyspace._activation import Activation
from carobwalk.keyspace._coordinator_dependencies import CoordinatorDependencies
from carobwalk.keyspace._coordinator_map import CoordinatorMap, assigned_range
from carobwalk.keyspace._events import KeysAssigned, KeysGranted
from carobwalk.keyspace._grant_renewer import GrantRenewer
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyRange
from carobwalk.keyspace._map_writer import MapWriter, Overtaken
from carobwalk.keyspace._move import BALANCING, Move
from carobwalk.keyspace._order_sender import OrderSender
from carobwalk.keyspace._planner import Planner
from carobwalk.keyspace._view_builder import ViewBuilder
from carobwalk.lease import Term, TermEnded
from carobwalk.model import ServiceName

# Longest time that an accepted grant may stay unwritten: until it is written, a
# new coordinator would treat the range as still in transfer.
_MAX_UNWRITTEN_SECONDS: Final = 0.5
_BALANCE_INTERVAL_SECONDS: Final = 0.3
# A new coordinator knows neither the loads nor which servers answer it. Moves
# that nobody needs wait until both are known.
_FIRST_BALANCE_DELAY_SECONDS: Final = 2.0
_BATCH_SECONDS: Final = 0.01


class ServiceCoordinator:
    """Assigns, grants and renews the keys of a service.

    Every assignment is written to the store before its first grant is sent.

    Args:
        service: Name of the service.
        dependencies: Components shared by the coordinators of all services.
        term: Term during which this process coordinates.
        order_sender: Sends grants and releases.
        writer: Writes the key map.
    """

    def __init__(
        self,
        service: ServiceName,
        dependencies: CoordinatorDependencies,
        term: Term,
        order_sender: OrderSender,
        writer: MapWriter,
    ) -> None:
        self._service = service
        self._dependencies = dependencies
        self._term = term
        self._order_sender = order_sender
        self._writer = writer
        self._map = CoordinatorMap(KeyMap(()))
        self._views = ViewBuilder(service, dependencies, order_sender.ledger)
        self._refused: list[KeyRange] = []
        self._activating: set[KeyRange] = set()
        self._wake = trio.Event()
        self._is_stopping = False
        self._has_unpublished_grants = False
        self._next_balance_at = -math.inf

    async def run(self, key_map: KeyMap) -> None:
        """Coordinate until the term is over.

        Args:
            key_map: Key map that this process claimed in the store.
        """
        self._map.replace_written(key_map)
        if key_map.ranges:
            self._publish()
            now = self._dependencies.clock.now()
            self._next_balance_at = now + _FIRST_BALANCE_DELAY_SECONDS
        renewer = GrantRenewer(
            self._map,
            self._order_sender,
            self._dependencies.orders,
            self._term,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(renewer.renew_when_in_doubt)
            while not self._term.is_over and not self._is_stopping:
                renewer.start(nursery)
                self._start_activations(nursery)
                self._publish_grants()
                if self._term.is_valid:
                    await self._reconcile()
                with trio.move_on_after(self._dependencies.orders.times.tick):
                    await self._wake.wait()
                    await trio.sleep(_BATCH_SECONDS)
                self._wake = trio.Event()
            nursery.cancel_scope.cancel()

    async def resign(self) -> None:
        """Stop, and write the final map for the next coordinator."""
        # Orders sent after the ledger was read would be missing in the record.
        await self._order_sender.close()
        self._is_stopping = True
        self._wake.set()
        if self._term.is_valid and self._map.written.ranges:
            await self._writer.write(
                self._map.current(),
                is_settled=self._order_sender.ledger.is_settled,
            )

    async def _reconcile(self) -> None:
        """Plan moves, and write them with the grants accepted since."""
        self._dependencies.orders.incarnations.refresh()
        current = self._map.current()
        moves = self._plan(current)
        if not moves and not self._refused and not self._has_overdue_grant():
            return
        changed = [assigned_range(current, move) for move in moves]
        # Fence 0 stands for the new revision, which is higher than the refused
        # fencing token.
        changed.extend(
            replace(key_range, fence=0) for key_range in self._refused
        )
        written = await self._writer.write(current.assign(changed))
        if isinstance(written, Overtaken):
            # The next term claims the map as it is now.
            self._term.end()
            cause = f'keys of {self._service} {written}'
            self._dependencies.events.emit(TermEnded(self._term.lease, cause))
            return
        # After the term, the record may be another coordinator's.
        if written is None or not self._term.is_valid:
            return
        self._refused.clear()
        self._map.replace_written(written)
        self._publish()
        for move in moves:
            self._dependencies.events.emit(
                KeysAssigned.of(self._service, move, written.revision),
            )

    def _plan(self, key_map: KeyMap) -> tuple[Move, ...]:
        now = self._dependencies.clock.now()
        view = self._views.build(
            key_map,
            may_balance=now >= self._next_balance_at,
        )
        may_assign_first = self._views.may_assign_first(view)
        if not key_map.ranges and not may_assign_first:
            return ()
        self._views.tell_overloads(view)
        moves = Planner(view).plan()
        if any(move.cause in BALANCING for move in moves):
            self._next_balance_at = now + _BALANCE_INTERVAL_SECONDS
        return moves

    def _has_overdue_grant(self) -> bool:
        """Return whether an accepted grant has been unwritten for too long."""
        age = self._dependencies.clock.now() - self._map.oldest_unwritten_at()
        return age >= _MAX_UNWRITTEN_SECONDS

    def _publish_grants(self) -> None:
        """Publish accepted grants in a batch: each publication builds a map."""
        if self._has_unpublished_grants:
            self._publish()

    def _publish(self) -> None:
        self._has_unpublished_grants = False
        self._dependencies.feed.publish(self._service, self._map.current())

    def _start_activations(self, nursery: trio.Nursery) -> None:
        for key_range in self._map.ungranted():
            if key_range not in self._activating:
                self._activating.add(key_range)
                nursery.start_soon(self._activate, key_range)

    async def _activate(self, key_range: KeyRange) -> None:
        began = self._dependencies.clock.now()
        activation = Activation(
            key_range,
            self._order_sender,
            self._dependencies.orders,
            self._dependencies.clock,
            lambda: self._map.is_assigned(key_range),
        )
        is_granted = await activation.run()
        self._activating.discard(key_range)
        if is_granted:
            self._map.record_grant(key_range, self._dependencies.clock.now())
            self._has_unpublished_grants = True
            self._dependencies.events.emit(
                KeysGranted(
                    service=self._service,
                    first=key_range.first,
                    last=key_range.last,
                    server=key_range.owner.server,
                    fence=key_range.fence,
                    with_handover=bool(activation.handover),
                    seconds=round(self._dependencies.clock.now() - began, 3),
                ),
            )
        elif activation.is_refused and self._map.is_assigned(key_range):
            self._refused.append(key_range)
        self._wake.set()
