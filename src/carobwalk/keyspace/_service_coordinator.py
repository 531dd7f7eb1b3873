"""Coordination of one service's keys during one term."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

import trio
from result import Ok

from carobwalk.events import EventLog
from carobwalk.keyspace._activation import Activation
from carobwalk.keyspace._events import KeysAssigned, KeysGranted, OwnerLost
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyRange, ServerLife
from carobwalk.keyspace._load_collector import LoadCollector
from carobwalk.keyspace._map_writer import MapWriter
from carobwalk.keyspace._order_desk import OrderDesk, OrderParts
from carobwalk.keyspace._planner import Move, Planner, PlannerView
from carobwalk.keyspace._server_lives import life_of
from carobwalk.keyspace._term import Term
from carobwalk.model import Clock, ServiceName

_GATHER_SECONDS = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class CoordinatorParts:
    """What coordination needs.

    Args:
        orders: What orders need.
        collector: Load of all processes.
        clock: Clock that runs on while the host is suspended.
        events: Log of events.
    """

    orders: OrderParts
    collector: LoadCollector
    clock: Clock
    events: EventLog


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
        self._map = KeyMap(())
        self._granted: list[KeyRange] = []
        self._refused: list[KeyRange] = []
        self._activating: set[KeyRange] = set()
        self._renewing: set[ServerLife] = set()
        self._lost: set[ServerLife] = set()
        self._wake = trio.Event()
        self._stopping = False

    async def run(self, key_map: KeyMap) -> None:
        """Coordinate until the term is over.

        Args:
            key_map: The map as this process claimed it in the store.
        """
        self._map = key_map
        async with trio.open_nursery() as nursery:
            while not self._term.is_over and not self._stopping:
                self._start_tasks(nursery)
                if self._term.is_valid:
                    await self._step()
                await self._pause()
            nursery.cancel_scope.cancel()

    async def resign(self) -> None:
        """Stop, and leave the map to the next coordinator."""
        self._stopping = True
        self._wake.set()
        changed = self._confirmed()
        if self._term.is_valid and self._map.ranges:
            await self._writer.write(
                self._map.assign(changed),
                is_settled=self._desk.ledger.is_settled,
            )

    async def _pause(self) -> None:
        with trio.move_on_after(self._parts.orders.times.tick) as scope:
            await self._wake.wait()
        self._wake = trio.Event()
        if not scope.cancelled_caught:
            # More ranges may be granted in the same moment.
            await trio.sleep(_GATHER_SECONDS)

    async def _step(self) -> None:
        """Take in what was granted, and assign what needs an owner."""
        self._parts.orders.lives.refresh()
        confirmed = self._confirmed()
        based = self._map.assign(confirmed)
        moves = self._plan(based)
        if not moves and not confirmed:
            return
        changed = [self._assign(based, move) for move in moves]
        changed.extend(self._assign_again(part) for part in self._refused)
        written = await self._writer.write(based.assign(changed))
        if written is None:
            return
        self._refused.clear()
        self._map = written
        for part, move in zip(changed, moves, strict=False):
            self._log_assigned(part, move)

    def _confirmed(self) -> list[KeyRange]:
        """Return granted ranges that the map does not show as such yet."""
        confirmed = [
            replace(part, is_granted=True, previous=())
            for part in self._granted
            if self._stands(part)
        ]
        self._granted = [part for part in self._granted if self._stands(part)]
        return confirmed

    def _stands(self, part: KeyRange) -> bool:
        """Return whether the map still holds a range as it was assigned."""
        found = self._map.find(part.first)
        return found == part

    def _plan(self, key_map: KeyMap) -> tuple[Move, ...]:
        collector = self._parts.collector
        load = collector.load_of(self._service)
        load.refresh(self._parts.clock.now())
        servers = self._parts.orders.lives.registered(self._service)
        if servers:
            collector.refresh(servers[0].slots)
        usable = {}
        leaving = set()
        for server in servers:
            life = life_of(server)
            if server.is_leaving:
                leaving.add(life)
            elif self._is_usable(life):
                usable[life] = server.slots / collector.speeds.seconds(life)
        now = self._parts.clock.now()
        ledger = self._desk.ledger
        return Planner(
            PlannerView(
                key_map=key_map,
                usable=usable,
                movable=frozenset(
                    life
                    for life in usable
                    if ledger.free_after_release(life) <= now
                ),
                leaving=frozenset(leaving),
                load=load,
            ),
        ).plan()

    def _is_usable(self, life: ServerLife) -> bool:
        watch = self._parts.orders.watch
        if watch.is_usable(life):
            self._lost.discard(life)
            return True
        if life not in self._lost:
            self._lost.add(life)
            end = self._desk.ledger.holds_until(life)
            left = max(end - self._parts.clock.now(), 0)
            cause = 'refused' if watch.is_dead(life) else 'silent'
            self._parts.events.emit(
                OwnerLost(life.server, life.born, cause, round(left, 3)),
            )
        return False

    def _assign(self, key_map: KeyMap, move: Move) -> KeyRange:
        holders: set[ServerLife] = set()
        for old in key_map:
            if old.last < move.first or old.first > move.last:
                continue
            holders.add(old.owner)
            holders.update(old.previous)
        return KeyRange(
            first=move.first,
            last=move.last,
            owner=move.owner,
            previous=tuple(sorted(holders - {move.owner})),
        )

    def _assign_again(self, part: KeyRange) -> KeyRange:
        """Return a range with a new fence in place of one that was refused."""
        return replace(part, fence=0, is_granted=False)

    def _start_tasks(self, nursery: trio.Nursery) -> None:
        for part in self._map:
            if not part.is_granted and part not in self._activating:
                self._activating.add(part)
                nursery.start_soon(self._activate, part)
            if part.owner not in self._renewing:
                self._renewing.add(part.owner)
                nursery.start_soon(self._renew, part.owner)

    async def _activate(self, part: KeyRange) -> None:
        began = self._parts.clock.now()
        activation = Activation(
            part,
            self._desk,
            self._parts.orders,
            self._parts.clock,
            lambda: self._stands(part),
        )
        is_granted = await activation.run()
        self._activating.discard(part)
        if is_granted:
            self._granted.append(part)
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
        elif activation.is_refused and self._stands(part):
            self._refused.append(part)
        self._wake.set()

    async def _renew(self, life: ServerLife) -> None:
        """Renew the grants of a life for as long as it owns keys."""
        times = self._parts.orders.times
        while any(part.owner == life for part in self._map):
            is_answered = True
            if self._parts.orders.watch.is_usable(life):
                is_answered = await self._renew_once(life)
            await trio.sleep(times.renewal if is_answered else times.retry)
        self._renewing.discard(life)

    async def _renew_once(self, life: ServerLife) -> bool:
        is_answered = True
        for part in self._held(life):
            renewed = await self._desk.grant(
                part,
                '',
                lambda part=part: part in set(self._held(life)),
            )
            is_answered = is_answered and isinstance(renewed, Ok)
        return is_answered

    def _held(self, life: ServerLife) -> Iterable[KeyRange]:
        """Return the ranges that a life was granted."""
        granted = set(self._granted)
        return [
            part
            for part in self._map
            if part.owner == life and (part.is_granted or part in granted)
        ]

    def _log_assigned(self, part: KeyRange, move: Move) -> None:
        self._parts.events.emit(
            KeysAssigned(
                service=self._service,
                first=part.first,
                last=part.last,
                server=part.owner.server,
                fence=part.fence or self._map.revision,
                cause=move.cause,
            ),
        )

