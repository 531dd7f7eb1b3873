"""Monitoring of the coordinator's lease in the store."""

import trio
from result import Err

from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._store_names import coordinator_lease


class LeaseWatch:
    """Detects a coordinator that is partitioned from the store.

    Args:
        context: Dependencies and settings of this process.
        group: Group of the coordinator.
    """

    def __init__(self, context: OwnershipContext, group: str) -> None:
        self._context = context
        self._name = coordinator_lease(group)
        self._absent_since: float | None = None

    def is_absent(self) -> bool:
        """Return whether the lease was absent for its time to live."""
        if self._absent_since is None:
            return False
        age = self._context.clock.now() - self._absent_since
        return age > self._context.times.store_lease_ttl

    def reset(self) -> None:
        """Restart the measurement, for the next coordinator."""
        self._absent_since = None

    async def check(self) -> None:
        """Read the lease's record once; it counts as present if that fails."""
        found = True
        with trio.move_on_after(self._context.times.store_timeout):
            answer = await self._context.store.read(self._name)
            found = isinstance(answer, Err) or answer.ok_value is not None
        if found:
            self._absent_since = None
        elif self._absent_since is None:
            self._absent_since = self._context.clock.now()
