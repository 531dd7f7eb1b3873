"""Backend servers that take orders about keys, in memory."""

from collections.abc import Mapping

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
from standins.platform._key_holder import SLOW_CLOCK, KeyHolder

_RELEASE_SECONDS = 1.5


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
        ends = trio.current_time() + order.hold / SLOW_CLOCK
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
        if holder.hangs_releases:
            await trio.sleep(_RELEASE_SECONDS)
            return Err(OrderUnanswered('work goes on'))
        holder.release(order.first, order.last)
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
        bounds = (order.first, order.last)
        if not holder.grant(bounds, order.fence, ends, self._keys):
            return False
        self._check()
        return True

    def _check(self) -> None:
        now = trio.current_time()
        self.violations.extend(
            double_owners(self.holders_by_id, self._keys, now),
        )


def double_owners(
    holders_by_id: Mapping[ServerId, KeyHolder],
    keys: tuple[int, ...],
    now: float,
) -> list[str]:
    """Return a line for each key that two servers hold."""
    lines = []
    for key in keys:
        owners = [
            server
            for server, holder in holders_by_id.items()
            if holder.holds(key, now)
        ]
        if len(owners) > 1:
            lines.append(f'{now:.3f} key {key}: {owners}')
    return lines
