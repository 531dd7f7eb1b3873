"""Small stand-ins at the interfaces of dispatch."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from result import Ok, Result

from carobwalk.dispatch import DispatchContext
from carobwalk.events import NullEventLog
from carobwalk.model import (
    Address,
    Call,
    CallerGoneError,
    DataCentreName,
    Endpoint,
    FenceToken,
    Headers,
    Key,
    Placement,
    ProfileName,
    Rank,
    RegionName,
    RequestHead,
    RequestId,
    ServerId,
    ServiceName,
    ShardNumber,
    TrioClock,
)
from carobwalk.ownership import NoLease
from carobwalk.profiles import Catalogue, Profile, Service

SERVICE = ServiceName('claims-ledger')
PROFILE = Profile(name=ProfileName('usual'))


@dataclass
class FakeLeases:
    """Leases whose answer a test sets."""

    answer: Result[FenceToken, NoLease] = field(
        default_factory=lambda: Ok(FenceToken(epoch=3, sequence=7)),
    )
    asked: int = 0

    def authorise(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> Result[FenceToken, NoLease]:
        """Return the set answer."""
        self.asked += 1
        return self.answer


@dataclass
class ListBody:
    """A body of given chunks; an exception among them is raised."""

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
    """A sink that keeps the answer; it may leave after some chunks."""

    leaves_after: int | None = None
    status: int | None = None
    headers: Headers = ()
    chunks: list[bytes] = field(default_factory=list)

    @property
    def body(self) -> bytes:
        """The whole body so far."""
        return b''.join(self.chunks)

    async def start(self, status: int, headers: Headers) -> None:
        """Keep the status and the header fields."""
        assert self.status is None
        self.status = status
        self.headers = headers

    async def write(self, chunk: bytes) -> None:
        """Keep a chunk."""
        if self.leaves_after == len(self.chunks):
            raise CallerGoneError('test')
        self.chunks.append(chunk)


def catalogue_of(profile: Profile) -> Callable[[], Catalogue]:
    """Return a source of a catalogue with one service."""
    service = Service(name=SERVICE, profile=profile.name)
    catalogue = Catalogue(
        revision=1,
        profiles_by_name={profile.name: profile},
        services_by_name={SERVICE: service},
    )
    return lambda: catalogue


def context_of(
    leases: FakeLeases | None = None,
    profile: Profile = PROFILE,
) -> DispatchContext:
    """Return the collaborators of a dispatcher under test."""
    return DispatchContext(
        leases=leases or FakeLeases(),
        catalogue=catalogue_of(profile),
        clock=TrioClock(),
        events=NullEventLog(),
        random=Random(1),
    )


def call_of(
    *chunks: bytes | Exception,
    rank: Rank = Rank.MONEY,
    idempotent: bool = False,
    deadline: float = 5,
    body_length: int | None = 0,
    method: str = 'POST',
    idempotency_key: str | None = None,
    caller: str = 'caller-1',
    request_id: str = 'request-1',
    target: str = '/claims-ledger/claims/c-1',
) -> Call:
    """Return a call with these body chunks."""
    if chunks and body_length == 0:
        body_length = sum(
            len(chunk) for chunk in chunks if isinstance(chunk, bytes)
        )
    head = RequestHead(
        request_id=RequestId(request_id),
        service=SERVICE,
        rank=rank,
        method=method,
        target=target,
        headers=((b'accept', b'*/*'), (b'connection', b'close')),
        key=Key('c-1'),
        deadline=deadline,
        idempotent=idempotent,
        idempotency_key=idempotency_key,
        caller=caller,
        body_length=body_length,
    )
    return Call(head=head, body=ListBody(list(chunks)))


def endpoint_of(name: str, region: str = 'north', port: int = 1) -> Endpoint:
    """Return an endpoint on loopback."""
    return Endpoint(
        name=name,
        address=Address('127.0.0.1', port),
        region=RegionName(region),
        data_centre=DataCentreName(f'{region}-1'),
    )


def placement_of(server: Endpoint) -> Placement:
    """Return the placement of the test key at a server."""
    return Placement(
        server=server,
        dispatcher=endpoint_of('entry-1'),
        shard=ShardNumber(5),
        token=FenceToken(epoch=3, sequence=7),
    )
