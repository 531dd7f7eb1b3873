"""Fakes of the leases, and of the body and the sink of a call."""

from dataclasses import dataclass, field

import trio
from result import Ok, Result

from carobwalk.model import (
    CallerGoneError,
    FenceToken,
    Headers,
    Key,
    ServerId,
    ServiceName,
)
from carobwalk.ownership import NoLease


@dataclass
class FakeLeases:
    """Leases that return a result set by the test."""

    result: Result[FenceToken, NoLease] = field(
        default_factory=lambda: Ok(FenceToken(epoch=3, sequence=7)),
    )
    calls: int = 0
    seen: Result[FenceToken, NoLease] | None = None
    since: float = 0

    def authorise(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> Result[FenceToken, NoLease]:
        """Return the configured result."""
        self.calls += 1
        return self.result

    def held_since(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> float:
        """Return when the configured result was first seen."""
        if self.seen != self.result:
            self.seen = self.result
            self.since = trio.current_time()
        return self.since


@dataclass
class ListBody:
    """A body made of given chunks; an exception among them is raised."""

    chunks: list[bytes | Exception] = field(default_factory=list)

    async def receive(self) -> bytes:
        """Return the next chunk."""
        if not self.chunks:
            return b''
        chunk = self.chunks.pop(0)
        if isinstance(chunk, Exception):
            raise chunk
        return chunk


@dataclass
class ListSink:
    """A sink that stores the response and may disconnect after some chunks."""

    disconnects_after: int | None = None
    status: int | None = None
    headers: Headers = ()
    chunks: list[bytes] = field(default_factory=list)

    @property
    def body(self) -> bytes:
        """The body received so far."""
        return b''.join(self.chunks)

    async def start(self, status: int, headers: Headers) -> None:
        """Store the status and the header fields."""
        assert self.status is None
        self.status = status
        self.headers = headers

    async def write(self, chunk: bytes) -> None:
        """Store a chunk or disconnect."""
        if self.disconnects_after == len(self.chunks):
            raise CallerGoneError('test')
        self.chunks.append(chunk)
