"""In-memory order channel to backend servers."""

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
from standins.platform._key_holder import SLOW_CLOCK_RATE, KeyHolder

_RELEASE_TIMEOUT_SECONDS = 1.5


class MemoryOrderChannel:
    """In-memory ``OrderChannel`` that checks for double owners.

    ``violations`` lists the keys that two servers held at the same time.

    Args:
        keys: Keys that are checked for double owners.
    """

    def __init__(self, keys: tuple[int, ...]) -> None:
        self.holders_by_id: dict[ServerId, KeyHolder] = {}
        self.grants = 0
        self.releases = 0
        self.violations: list[str] = []
        self._keys = keys
        self._nursery: trio.Nursery | None = None

    def use_nursery(self, nursery: trio.Nursery) -> None:
        """Set the nursery that applies delayed grants."""
        self._nursery = nursery

    def owner(self, key: int) -> ServerId | None:
        """Return the server that holds a key, ``None`` if none does."""
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
        """Apply a grant at a server."""
        holder = self.holders_by_id[server.id]
        failure = await self._check_reachable(server, holder)
        if failure is not None:
            return Err(failure)
        expires_at = trio.current_time() + order.hold / SLOW_CLOCK_RATE
        self.grants += 1
        if holder.apply_delay is not None:
            if self._nursery is not None:
                self._nursery.start_soon(
                    self._apply_late, holder, order, expires_at
                )
            await trio.sleep(0.4)
            return Err(OrderUnanswered('no answer'))
        if not self._apply(holder, order, expires_at):
            return Err(OrderRefused('a higher fence is known'))
        return Ok(None)

    async def release(
        self,
        server: BackendServer,
        order: Release,
    ) -> Result[str, OrderFailure]:
        """Apply a release at a server; return the handover state."""
        holder = self.holders_by_id[server.id]
        failure = await self._check_reachable(server, holder)
        if failure is not None:
            return Err(failure)
        self.releases += 1
        if holder.refuses_releases:
            return Err(OrderRefused('status 400'))
        if holder.stalls_releases:
            await trio.sleep(_RELEASE_TIMEOUT_SECONDS)
            return Err(OrderUnanswered('requests did not finish'))
        holder.release(order.first, order.last)
        return Ok(f'state-of-{server.id}')

    async def _check_reachable(
        self,
        server: BackendServer,
        holder: KeyHolder,
    ) -> OrderFailure | None:
        await trio.sleep(0.002)
        if holder.refuses_connections or holder.born != server.born:
            return OrderUnsent('refused', is_refused=True)
        if holder.is_unresponsive:
            await trio.sleep(0.4)
            return OrderUnanswered('silent')
        return None

    async def _apply_late(
        self,
        holder: KeyHolder,
        order: Grant,
        expires_at: float,
    ) -> None:
        await trio.sleep(holder.apply_delay or 0)
        self._apply(holder, order, expires_at)

    def _apply(
        self, holder: KeyHolder, order: Grant, expires_at: float
    ) -> bool:
        bounds = (order.first, order.last)
        if not holder.grant(bounds, order.fence, expires_at, self._keys):
            return False
        self._check()
        return True

    def _check(self) -> None:
        now = trio.current_time()
        self.violations.extend(
            find_double_owners(self.holders_by_id, self._keys, now),
        )


def find_double_owners(
    holders_by_id: Mapping[ServerId, KeyHolder],
    keys: tuple[int, ...],
    now: float,
) -> list[str]:
    """Return a line for each key that several servers hold."""
    doubles = find_double_keys(holders_by_id, keys, now)
    return [
        f'{now:.3f} key {key}: {list(owners)}'
        for key, owners in doubles.items()
    ]


def find_double_keys(
    holders_by_id: Mapping[ServerId, KeyHolder],
    keys: tuple[int, ...],
    now: float,
) -> dict[int, tuple[ServerId, ...]]:
    """Return the owners of each key that several servers hold."""
    doubles = {}
    for key in keys:
        owners = tuple(
            server
            for server, holder in holders_by_id.items()
            if holder.holds(key, now)
        )
        if len(owners) > 1:
            doubles[key] = owners
    return doubles
