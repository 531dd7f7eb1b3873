"""In-memory order channel to backend servers."""

from collections.abc import Awaitable, Callable

import trio
from result import Err, Ok, Result

from carobwalk.directory import BackendServer
from carobwalk.keyspace import (
    Grant,
    OrderFailure,
    OrderRefused,
    OrderUnanswered,
    Release,
)
from carobwalk.model import ServerId
from standins.platform._key_holder import KeyHolder
from standins.platform._order_effects import OrderEffects, OrderEntry
from standins.platform._server_reach import (
    ORDER_TIMEOUT_SECONDS,
    ServerReach,
)

_RELEASE_TIMEOUT_SECONDS = 1.5


class MemoryOrderChannel:
    """In-memory ``OrderChannel`` with faults that checks for double owners.

    ``violations`` lists the keys that two servers held at the same time, and
    ``fence_violations`` the keys that a server took with a fence that is not
    above those of all other servers.

    Args:
        keys: Keys that are checked.
    """

    def __init__(self, keys: tuple[int, ...]) -> None:
        self.effects = OrderEffects(keys)
        self.holders_by_id = self.effects.holders_by_id
        self.violations = self.effects.violations
        self.fence_violations = self.effects.fences.violations
        self.journal: list[OrderEntry] = self.effects.journal
        self.reach = ServerReach(self.holders_by_id)
        self.faults_by_id = self.reach.faults_by_id
        self.releases = 0
        self._nursery: trio.Nursery | None = None

    @property
    def grants(self) -> int:
        """Number of grants that arrived."""
        return self.effects.grants

    def use_nursery(self, nursery: trio.Nursery) -> None:
        """Set the nursery that applies delayed orders."""
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
        failure = await self.reach.connect(server)
        if failure is None:
            failure = await self._delay_grant(server, order)
        if failure is not None:
            self.effects.note(server, order, f'grant: {failure}')
            return Err(failure)
        return await self._deliver_grant(server, order)

    async def release(
        self,
        server: BackendServer,
        order: Release,
    ) -> Result[str, OrderFailure]:
        """Apply a release at a server; return the handover state."""
        holder = self.holders_by_id[server.id]
        failure = await self.reach.connect(server)
        if failure is not None:
            self.effects.note(server, order, f'release: {failure}')
            return Err(failure)
        self.releases += 1
        if holder.refuses_releases:
            return Err(OrderRefused('status 400'))
        if holder.stalls_releases:
            await trio.sleep(_RELEASE_TIMEOUT_SECONDS)
            return Err(OrderUnanswered('requests did not finish'))
        return await self._deliver_release(server, holder, order)

    async def _deliver_grant(
        self,
        server: BackendServer,
        order: Grant,
    ) -> Result[None, OrderFailure]:
        faults = self.reach.faults(server)
        arrived = self.effects.arrive(server, order)
        late = arrived.holder.apply_delay
        if late is None and faults.loses_answers:
            late = faults.repeat_delay
        if late is not None:
            self._start(self.effects.apply_after, late, arrived)
        is_accepted = arrived.holder.apply_delay is None and self.effects.apply(
            arrived
        )
        if arrived.holder.apply_delay is not None or faults.loses_answers:
            await trio.sleep(ORDER_TIMEOUT_SECONDS)
            return Err(OrderUnanswered('no answer'))
        if not is_accepted:
            return Err(OrderRefused('a higher fence is known'))
        return Ok(None)

    async def _deliver_release(
        self,
        server: BackendServer,
        holder: KeyHolder,
        order: Release,
    ) -> Result[str, OrderFailure]:
        faults = self.reach.faults(server)
        if faults.release_delay is not None:
            self._start(
                self.effects.release_after,
                faults.release_delay,
                server,
                holder,
                order,
            )
            await trio.sleep(_RELEASE_TIMEOUT_SECONDS)
            return Err(OrderUnanswered('no answer'))
        if faults.order_delay:
            await trio.sleep(faults.order_delay)
        self.effects.release(server, holder, order)
        if faults.work_seconds:
            await trio.sleep(faults.work_seconds)
        if faults.loses_answers:
            await trio.sleep(_RELEASE_TIMEOUT_SECONDS)
            return Err(OrderUnanswered('answer lost'))
        return Ok(f'state-of-{server.id}')

    def _start(
        self, run: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(run, *arguments)

    async def _delay_grant(
        self, server: BackendServer, order: Grant
    ) -> OrderFailure | None:
        """Hold a grant up on its way; return a failure after the timeout."""
        delay = self.reach.faults(server).order_delay
        if delay >= ORDER_TIMEOUT_SECONDS:
            self._start(_arrive_after, delay, self, server, order)
            await trio.sleep(ORDER_TIMEOUT_SECONDS)
            return OrderUnanswered('held up on the way')
        if delay:
            await trio.sleep(delay)
        return None


async def _arrive_after(
    delay: float,
    channel: MemoryOrderChannel,
    server: BackendServer,
    order: Grant,
) -> None:
    await trio.sleep(delay)
    if channel.reach.is_accepted(server):
        channel.effects.apply(channel.effects.arrive(server, order))
