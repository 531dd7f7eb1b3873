"""Interface of the platform's key-value service."""

from dataclasses import dataclass
from typing import NewType, Protocol

from result import Result

ClientId = NewType('ClientId', str)
LeaseId = NewType('LeaseId', str)


@dataclass(frozen=True, slots=True)
class Versioned:
    """A stored record.

    Args:
        name: Name of the record.
        content: Value of the record, at most one megabyte.
        revision: Revision of the store at the last write of this record,
            counted from 1.
    """

    name: str
    content: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The call was refused or never sent, so it had no effect.

    Args:
        detail: Cause of the failure.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No usable response to the call; a write may have taken effect.

    Args:
        detail: Cause of the failure.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """The expected revision did not match; the call had no effect.

    Args:
        current: Current record; ``None`` if it does not exist.
    """

    current: Versioned | None


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease used in the call has expired; the call had no effect."""

    lease: LeaseId


StoreFailure = Unavailable | Unanswered | Conflict | LeaseLost


class Store(Protocol):
    """A linearizable key-value service with compare-and-swap."""

    async def read(
        self,
        name: str,
    ) -> Result[Versioned | None, StoreFailure]:
        """Return the record, or ``None`` if it does not exist."""

    async def read_prefix(
        self,
        prefix: str,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Return all records with the prefix, sorted by name."""

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
            content: New value, at most one megabyte.
            expected_revision: Revision that the record must have; 0 if it
                must not exist.
            lease: Lease whose end deletes the record.

        Returns:
            The new revision.
        """

    async def delete(
        self,
        name: str,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Delete a record if it has the expected revision."""

    async def open_lease(self, ttl: float) -> Result[LeaseId, StoreFailure]:
        """Open a lease with a time to live of ``ttl`` seconds."""

    async def keep_alive(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease for its full time to live."""

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        timeout: float,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Wait for changes of a prefix after the given revision.

        A pending watch counts as one call. A deletion is reported as a record
        with empty content.

        Args:
            prefix: Common prefix of the watched names.
            after_revision: Revision of the store up to which all changes are
                known.
            timeout: Timeout in seconds.

        Returns:
            Changed records in order of revision; empty after the timeout.
        """
