"""A client process's view of the in-memory store."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial

import trio
from result import Err, Ok, Result

from carobwalk.store import (
    LeaseId,
    StoreFailure,
    Unanswered,
    Versioned,
)
from standins._call_counts import CallCounts
from standins._faulty_link import FaultyLink
from standins._store_faults import StoreFaults
from standins._store_state import StoreState


class MemoryStoreClient:
    """Store of one client process, with faults injected into its calls.

    Args:
        state: State shared by all clients.
        wake: Wakes the pending watches of all clients.
        changed: Returns the event that the next wake-up sets.
    """

    def __init__(
        self,
        state: StoreState,
        wake: Callable[[], None],
        changed: Callable[[], trio.Event],
    ) -> None:
        self.counts = CallCounts()
        self._state = state
        self._changed = changed
        self._link = FaultyLink(wake)

    def inject(self, faults: StoreFaults) -> None:
        """Replace the injected faults; ``StoreFaults()`` clears them."""
        self._link.inject(faults)

    def release_held(self) -> None:
        """Apply the held writes in the order of their calls."""
        self._link.release_held()

    async def read(
        self,
        name: str,
    ) -> Result[Versioned | None, StoreFailure]:
        """Return the record, ``None`` if it does not exist."""
        self.counts = replace(self.counts, reads=self.counts.reads + 1)
        return await self._link.exchange(lambda: Ok(self._state.find(name)))

    async def read_prefix(
        self,
        prefix: str,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Return all records whose names start with the prefix, by name."""
        self.counts = replace(self.counts, reads=self.counts.reads + 1)
        return await self._link.exchange(
            lambda: Ok(self._state.list_prefix(prefix)),
        )

    async def write(
        self,
        name: str,
        content: bytes,
        expected_revision: int,
        lease: LeaseId | None = None,
    ) -> Result[int, StoreFailure]:
        """Write a record if its revision matches the expected one."""
        self.counts = replace(self.counts, writes=self.counts.writes + 1)
        return await self._link.write(
            partial(self._state.write, name, content, expected_revision, lease),
        )

    async def delete(
        self,
        name: str,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Delete a record if its revision matches the expected one."""
        self.counts = replace(self.counts, writes=self.counts.writes + 1)
        return await self._link.write(
            lambda: self._state.delete(name, expected_revision),
        )

    async def open_lease(self, ttl: float) -> Result[LeaseId, StoreFailure]:
        """Grant a lease with a time to live of ``ttl`` seconds."""
        self.counts = replace(self.counts, writes=self.counts.writes + 1)
        leases = self._state.leases
        return await self._link.write(lambda: Ok(leases.open(ttl)))

    async def keep_alive(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease for its full time to live."""
        self.counts = replace(self.counts, writes=self.counts.writes + 1)
        return await self._link.write(lambda: self._state.leases.renew(lease))

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        timeout: float,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Wait for records of a prefix that are newer than a revision.

        Returns an empty tuple at the timeout.
        """
        self.counts = replace(self.counts, watches=self.counts.watches + 1)
        started = await self._link.exchange(lambda: Ok(None))
        if isinstance(started, Err):
            return started
        deadline = trio.current_time() + timeout
        while not self._link.faults.down:
            changes = self._state.changes(prefix, after_revision)
            if changes or trio.current_time() >= deadline:
                return Ok(changes)
            wake_at = min(deadline, self._state.leases.next_expiry())
            with trio.move_on_at(wake_at):
                await self._changed().wait()
        return Err(Unanswered('the store went down during the watch'))
