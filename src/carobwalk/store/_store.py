"""Contract of the platform's key-value service."""

from dataclasses import dataclass
from typing import NewType, Protocol

from result import Result

ClientId = NewType('ClientId', str)
LeaseId = NewType('LeaseId', str)


@dataclass(frozen=True, slots=True)
class Versioned:
    """A stored value.

    Args:
        name: Name of the record.
        content: Bytes of the record, at most a megabyte.
        revision: Revision of the store's last write of this record, from 1.
    """

    name: str
    content: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The call certainly had no effect: refused, or never sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """The call was sent and not answered; a write may have taken effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """The expected revision did not match; the call had no effect.

    Args:
        current: Record as it stands; ``None`` if it does not exist.
    """

    current: Versioned | None


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease named in the call has lapsed; the call had no effect."""

    lease: LeaseId


StoreFailure = Unavailable | Unanswered | Conflict | LeaseLost


class Store(Protocol):
    """A linearizable key-value service with compare-and-swap."""

    async def read(
        self,
        name: str,
    ) -> Result[Versioned | None, StoreFailure]:
        """Return the record, ``None`` where there is none."""

    async def read_prefix(
        self,
        prefix: str,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Return all records whose names start with the prefix, by name."""

    async def write(
        self,
        name: str,
        content: bytes,
        expected_revision: int,
        lease: LeaseId | None = None,
    ) -> Result[int, StoreFailure]:
        """Write a record if its revision is the expected one.

        Args:
            name: Name of the record.
            content: New value, at most a megabyte.
            expected_revision: Revision the record must have; 0 for absent.
            lease: Lease whose end removes the record.

        Returns:
            The new revision.
        """

    async def delete(
        self,
        name: str,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Delete a record if its revision is the expected one."""

    async def open_lease(self, ttl: float) -> Result[LeaseId, StoreFailure]:
        """Open a lease of ``ttl`` seconds."""

    async def keep_alive(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease for its whole time to live."""

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        timeout: float,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Wait for records of a prefix that are newer than a revision.

        A waiting watch counts as one call. Deleted records are reported with
        empty content.

        Args:
            prefix: Start of the names watched.
            after_revision: Store revision already seen.
            timeout: Longest wait in seconds.

        Returns:
            Changed records in order of revision; empty after the timeout.
        """
