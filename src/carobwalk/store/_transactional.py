"""Interface of a key-value service with revisions, watches and leases."""

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
    """The requested history was compacted; list the records again."""


@dataclass(frozen=True, slots=True)
class Listing:
    """All records with a prefix at one revision.

    Args:
        records: Records sorted by name.
        revision: Revision after which a watch can start.
    """

    records: tuple[Versioned, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of the records with a prefix.

    Args:
        changes: Written and removed records in order of revision.
        revision: Revision after which the next watch continues.
    """

    changes: tuple[Versioned | Removed, ...]
    revision: int


class TransactionalStore(Protocol):
    """A linearizable key-value service; each method makes one call."""

    async def list_records(
        self,
        prefix: str,
    ) -> Result[Listing, StoreFailure]:
        """Return all records with the prefix."""

    async def watch_records(
        self,
        prefix: str,
        after_revision: int,
        timeout: float,
        margin: float,
    ) -> Result[Changes, StoreFailure | Compacted]:
        """Wait for changes of a prefix after the given revision.

        Args:
            prefix: Common prefix of the watched names.
            after_revision: Revision up to which all changes are known.
            timeout: Timeout in seconds; a pending watch is one call.
            margin: Time in seconds beyond it until the answer begins.
        """

    async def write(
        self,
        name: str,
        content: bytes,
        expected_revision: int,
        lease: LeaseId | None = None,
    ) -> Result[int, StoreFailure]:
        """Write a record if it has the expected revision.

        Args:
            name: Name of the record.
            content: New value.
            expected_revision: Revision that the record must have; 0 if it
                must not exist.
            lease: Lease whose end removes the record.

        Returns:
            The new revision.
        """

    async def remove(
        self,
        name: str,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Remove a record if it has the expected revision."""

    async def open_lease(self, ttl: float) -> Result[LeaseId, StoreFailure]:
        """Open a lease with a time to live of ``ttl`` seconds."""

    async def keep_alive(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease; its time to live starts when the call arrives."""

    async def end_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """End a lease and remove its records."""
