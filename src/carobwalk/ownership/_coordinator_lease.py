"""Lease in the store that shows that a coordinator can reach the store."""

from typing import Final

import trio
from result import Err, Ok

from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._store_names import coordinator_lease
from carobwalk.store import Conflict, LeaseId

_RENEWALS_PER_TTL: Final = 3


class CoordinatorLease:
    """Keeps a leased record in the store while the coordinator can reach it.

    If the record is absent, the coordinator is partitioned from the store,
    and the candidates replace it even if they still receive its pushes. The
    lease serves availability only; safety does not depend on it.

    Args:
        state: Coordinator's state of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state
        self._store = state.context.store
        self._name = coordinator_lease(state.group)
        self._content = state.context.own.name.encode()
        self._lease: LeaseId | None = None

    async def run(self) -> None:
        """Renew the lease, and open a new one if it expired."""
        pause = self._state.context.times.store_lease_ttl / _RENEWALS_PER_TTL
        while True:
            with trio.move_on_after(self._state.context.times.store_timeout):
                await self._renew()
            await trio.sleep(pause)

    async def _renew(self) -> None:
        if self._lease is None:
            await self._open()
            return
        answer = await self._store.keep_alive(self._lease)
        if isinstance(answer, Err):
            self._lease = None

    async def _open(self) -> None:
        ttl = self._state.context.times.store_lease_ttl
        opened = await self._store.open_lease(ttl)
        if isinstance(opened, Err):
            return
        lease = opened.ok_value
        answer = await self._write(lease, 0)
        if isinstance(answer, Conflict) and answer.current is not None:
            await self._write(lease, answer.current.revision)

    async def _write(self, lease: LeaseId, revision: int) -> Conflict | None:
        content = self._content
        answer = await self._store.write(self._name, content, revision, lease)
        if isinstance(answer, Ok):
            self._lease = lease
            return None
        failure = answer.err_value
        return failure if isinstance(failure, Conflict) else None
