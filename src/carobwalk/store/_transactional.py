"""Contract of a key-value service with revisions, watches and leases."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from carobwalk.store._store import LeaseId, StoreFailure, Versioned


@dataclass(frozen=True, slots=True)
class Removed:
    """A record was removed.

    Args:
        name: Name of the record.
        revision: Revision of the removal.
    """

    name: str
    revision: int


@dataclass(frozen=True, slots=True)
class Compacted:
    """The history asked for is gone; the records must be listed anew."""


@dataclass(frozen=True, slots=True)
class Listing:
    """Records of a prefix.

    Args:
        records: The records by name.
        revision: Revision from which a watch may go on.
    """

    records: tuple[Versioned, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a prefix in order of revision.

    Args:
        changes: Records as they were written, and removals.
        revision: Revision from which the next watch goes on.
    """

    changes: tuple[Versioned | Removed, ...]
    revision: int


class TransactionalStore(Protocol):
    """A linearizable key-value service; each method is one call."""

    async def list_records(
        self,
        prefix: str,
    ) -> Result[Listing, StoreFailure]:
        """Return all records whose names start with the prefix."""

    async def watch_records(
        self,
        prefix: str,
        after_revision: int,
        timeout: float,
    ) -> Result[Changes, StoreFailure | Compacted]:
        """Wait for changes after a revision.

        Args:
            prefix: Start of the names watched.
            after_revision: Revision already seen.
            timeout: Longest wait in seconds; a waiting watch is one call.
        """

    async def write(
        self,
        name: str,
        content: bytes,
        expected_revision: int,
        lease: LeaseId | None = None,
    ) -> Result[int, StoreFailure]:
        """Write a record if its revision is the expected one, 0 for absent.

        Returns:
            The new revision.
        """

    async def remove(
        self,
        name: str,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Remove a record if its revision is the expected one."""

    async def open_lease(self, ttl: float) -> Result[LeaseId, StoreFailure]:
        """Open a lease of ``ttl`` seconds."""

    async def keep_alive(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease; its time runs from the arrival of the call."""

    async def end_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """End a lease, which removes its records."""
