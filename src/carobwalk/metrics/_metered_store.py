"""Store that counts its calls."""

from typing import Any, Final

from result import Ok, Result

from carobwalk.metrics._metrics import Metrics
from carobwalk.store import (
    Conflict,
    LeaseId,
    LeaseLost,
    Store,
    StoreFailure,
    Unanswered,
    Unavailable,
    Versioned,
)

_OK_RESULT: Final = 'ok'


class MeteredStore:
    """Passes calls on to a store, and counts them by operation and result.

    Args:
        store: Store that executes the calls.
        metrics: Receives the counts.
    """

    def __init__(self, store: Store, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics

    async def read(
        self,
        name: str,
    ) -> Result[Versioned | None, StoreFailure]:
        """Return a record, ``None`` if it does not exist."""
        answer = await self._store.read(name)
        self._count('read', answer)
        return answer

    async def read_prefix(
        self,
        prefix: str,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Return all records with a name prefix, sorted by name."""
        answer = await self._store.read_prefix(prefix)
        self._count('read-prefix', answer)
        return answer

    async def write(
        self,
        name: str,
        content: bytes,
        expected_revision: int,
        lease: LeaseId | None = None,
    ) -> Result[int, StoreFailure]:
        """Write a record if its revision matches the expected one."""
        answer = await self._store.write(
            name,
            content,
            expected_revision,
            lease,
        )
        self._count('write', answer)
        return answer

    async def delete(
        self,
        name: str,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Delete a record if its revision matches the expected one."""
        answer = await self._store.delete(name, expected_revision)
        self._count('delete', answer)
        return answer

    async def open_lease(self, ttl: float) -> Result[LeaseId, StoreFailure]:
        """Open a lease with a time to live in seconds."""
        answer = await self._store.open_lease(ttl)
        self._count('open-lease', answer)
        return answer

    async def keep_alive(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease for its full time to live."""
        answer = await self._store.keep_alive(lease)
        self._count('keep-alive', answer)
        return answer

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        timeout: float,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Wait for records of a prefix newer than a revision."""
        answer = await self._store.watch(prefix, after_revision, timeout)
        self._count('watch', answer)
        return answer

    def _count(
        self,
        operation: str,
        answer: Result[Any, StoreFailure],
    ) -> None:
        self._metrics.record_store_call(operation, _result_label(answer))


def _result_label(answer: Result[Any, StoreFailure]) -> str:
    if isinstance(answer, Ok):
        return _OK_RESULT
    match answer.err_value:
        case Unavailable():
            return 'unavailable'
        case Unanswered():
            return 'unanswered'
        case Conflict():
            return 'conflict'
        case LeaseLost():
            return 'lease-lost'
