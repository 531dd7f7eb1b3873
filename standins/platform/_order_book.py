"""Backend servers that take orders about keys, in memory."""

from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

from carobwalk.directory import BackendServer
from carobwalk.keyspace import (
    Grant,
    OrderFailure,
    OrderRefused,
    OrderUnanswered,
    OrderUnsent,
    Release,
)
from carobwalk.model import ServerId

_SLOW_CLOCK = 0.98


@dataclass(slots=True)
class _Held:
    first: int
    last: int
    fence: int
    ends: float


@dataclass(slots=True)
class KeyHolder:
    """One life of a backend server.

    Args:
        born: Start of its life.
        is_refusing: Whether nothing listens at its address.
        is_silent: Whether it answers nothing and gets nothing.
        refuses_releases: Whether it refuses each release.
        applies_late: Seconds after which it carries out orders that it does
            not answer; ``None`` if it answers.
    """

    born: int = 1
    is_refusing: bool = False
    is_silent: bool = False
    refuses_releases: bool = False
    applies_late: float | None = None
    held: list[_Held] = field(default_factory=list)
    fences_by_key: dict[int, int] = field(default_factory=dict)

    def holds(self, key: int, now: float) -> bool:
        """Return whether it runs requests for a key."""
        return not self.is_refusing and any(
            part.first <= key <= part.last and now < part.ends
            for part in self.held
        )


class OrderBook:
    """An ``OrderChannel`` to servers in memory; it finds double owners.

    Args:
        keys: Keys that are watched for two owners.
    """

    def __init__(self, keys: tuple[int, ...]) -> None:
        self.holders_by_id: dict[ServerId, KeyHolder] = {}
        self.grants = 0
        self.releases = 0
        self.violations: list[str] = []
        self._keys = keys
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Let late orders be carried out in a nursery."""
        self._nursery = nursery

    def owner(self, key: int) -> ServerId | None:
        """Return the server that holds a key."""
        now = trio.current_time()
        owners = [
            server
            for server, holder in self.holders_by_id.items()
            if holder.holds(key, now)
        ]
        return owners[0] if owners else None

    async def grant(
        self,
        server: BackendServer,
        order: Grant,
    ) -> Result[None, OrderFailure]:
        """Carry out a grant."""
        holder = self.holders_by_id[server.id]
        failure = await self._reach(server, holder)
        if failure is not None:
            return Err(failure)
        ends = trio.current_time() + order.hold / _SLOW_CLOCK
        self.grants += 1
        if holder.applies_late is not None:
            if self._nursery is not None:
                self._nursery.start_soon(self._apply_late, holder, order, ends)
            await trio.sleep(0.4)
            return Err(OrderUnanswered('no answer'))
        if not self._apply(holder, order, ends):
            return Err(OrderRefused('a higher fence was seen'))
        return Ok(None)

    async def release(
        self,
        server: BackendServer,
        order: Release,
    ) -> Result[str, OrderFailure]:
        """Carry out a release."""
        holder = self.holders_by_id[server.id]
        failure = await self._reach(server, holder)
        if failure is not None:
            return Err(failure)
        self.releases += 1
        if holder.refuses_releases:
            return Err(OrderRefused('status 400'))
        kept = []
        for part in holder.held:
            kept.extend(_outside(part, order))
        holder.held = kept
        return Ok(f'state-of-{server.id}')

    async def _reach(
        self,
        server: BackendServer,
        holder: KeyHolder,
    ) -> OrderFailure | None:
        await trio.sleep(0.002)
        if holder.is_refusing or holder.born != server.born:
            return OrderUnsent('refused', is_refused=True)
        if holder.is_silent:
            await trio.sleep(0.4)
            return OrderUnanswered('silent')
        return None

    async def _apply_late(
        self,
        holder: KeyHolder,
        order: Grant,
        ends: float,
    ) -> None:
        await trio.sleep(holder.applies_late or 0)
        self._apply(holder, order, ends)

    def _apply(self, holder: KeyHolder, order: Grant, ends: float) -> bool:
        for key in self._keys:
            if order.first <= key <= order.last:
                if holder.fences_by_key.get(key, 0) > order.fence:
                    return False
                holder.fences_by_key[key] = order.fence
        same = [
            part
            for part in holder.held
            if (part.first, part.last) == (order.first, order.last)
        ]
        if same:
            same[0].ends = max(same[0].ends, ends)
        else:
            held = _Held(order.first, order.last, order.fence, ends)
            holder.held.append(held)
        self._check()
        return True

    def _check(self) -> None:
        now = trio.current_time()
        for key in self._keys:
            owners = [
                server
                for server, holder in self.holders_by_id.items()
                if holder.holds(key, now)
            ]
            if len(owners) > 1:
                self.violations.append(f'{now:.3f} key {key}: {owners}')


def _outside(part: _Held, order: Release) -> list[_Held]:
    pieces = []
    if part.first < order.first:
        last = min(part.last, order.first - 1)
        pieces.append(_Held(part.first, last, part.fence, part.ends))
    if part.last > order.last:
        first = max(part.first, order.last + 1)
        pieces.append(_Held(first, part.last, part.fence, part.ends))
    return pieces
