"""Request messages of the key-value service over HTTP, encoded as JSON.

Each message is the body of a ``POST`` to its ``PATH``. A response with status
200 holds the return value of the method of ``Store`` of the same name, 409
holds ``Conflict`` and 410 holds ``LeaseLost``. Status 503 means that the call
had no effect.
"""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.store._store import LeaseId


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Reads one record."""

    PATH: ClassVar[str] = '/v1/read'
    name: str


@dataclass(frozen=True, slots=True)
class ReadPrefixRequest:
    """Reads all records with a prefix."""

    PATH: ClassVar[str] = '/v1/read-prefix'
    prefix: str


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """Writes a record if it has the expected revision."""

    PATH: ClassVar[str] = '/v1/write'
    name: str
    content: bytes
    expected_revision: int
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class DeleteRequest:
    """Deletes a record if it has the expected revision."""

    PATH: ClassVar[str] = '/v1/delete'
    name: str
    expected_revision: int


@dataclass(frozen=True, slots=True)
class OpenLeaseRequest:
    """Opens a lease with a time to live of ``ttl`` seconds."""

    PATH: ClassVar[str] = '/v1/open-lease'
    ttl: float


@dataclass(frozen=True, slots=True)
class KeepAliveRequest:
    """Renews a lease."""

    PATH: ClassVar[str] = '/v1/keep-alive'
    lease: LeaseId


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """Waits up to ``timeout`` seconds for changes of a prefix."""

    PATH: ClassVar[str] = '/v1/watch'
    prefix: str
    after_revision: int
    timeout: float


StoreRequest = (
    ReadRequest
    | ReadPrefixRequest
    | WriteRequest
    | DeleteRequest
    | OpenLeaseRequest
    | KeepAliveRequest
    | WatchRequest
)
