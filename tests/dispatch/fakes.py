"""Fakes of the dependencies of dispatch."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf
from random import Random
from uuid import UUID

import trio
from result import Err, Ok, Result

from carobwalk.dispatch import (
    CallerLost,
    DispatchContext,
    DispatchPool,
    NotAuthorised,
    NotConnected,
    RefusalReason,
    Refused,
    Unanswered,
    UpstreamFailure,
    UpstreamRequest,
)
from carobwalk.events import NullEventLog
from carobwalk.model import (
    Address,
    BodyError,
    BodySource,
    Call,
    CallerGoneError,
    Completion,
    DataCentreName,
    Endpoint,
    Failure,
    FailureKind,
    FenceToken,
    Headers,
    Key,
    Outcome,
    Placement,
    ProfileName,
    Rank,
    RegionName,
    ReplySink,
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


def catalogue_of(profile: Profile) -> Callable[[], Catalogue]:
    """Return a function that returns a catalogue with one service."""
    service = Service(name=SERVICE, profile=profile.name)
    catalogue = Catalogue(
        revision=1,
        profiles_by_name={profile.name: profile},
        services_by_name={SERVICE: service},
    )
    return lambda: catalogue


async def no_broadcast(snapshot: bytes) -> None:
    """Do nothing."""


def context_of(
    leases: FakeLeases | None = None,
    profile: Profile = PROFILE,
    broadcast: Callable[[bytes], Awaitable[None]] = no_broadcast,
) -> DispatchContext:
    """Return the dependencies of a dispatcher under test."""
    return DispatchContext(
        leases=leases or FakeLeases(),
        catalogue=catalogue_of(profile),
        clock=TrioClock(),
        events=NullEventLog(),
        wall_clock=trio.current_time,
        random=Random(1),
        broadcast=broadcast,
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
    """Return a call with the given body chunks."""
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
    """Return an endpoint on the loopback interface."""
    return Endpoint(
        name=name,
        address=Address('127.0.0.1', port),
        region=RegionName(region),
        data_centre=DataCentreName(f'{region}-1'),
    )


def placement_of(server: Endpoint) -> Placement:
    """Return the placement of the test key on a server."""
    return Placement(
        server=server,
        dispatcher=endpoint_of('entry-1'),
        shard=ShardNumber(5),
        token=FenceToken(epoch=3, sequence=7),
    )


class Step(Enum):
    """Behaviour of a scripted server for one request."""

    ANSWER = auto()
    CRASH = auto()
    SHED = auto()
    REFUSE_CONNECTION = auto()
    FREEZE = auto()


async def _read_all(body: BodySource) -> int:
    size = 0
    while chunk := await body.receive():
        size += len(chunk)
    return size


@dataclass
class ScriptedUpstream:
    """A server that follows a script, one step per request.

    Once the script is used up, it responds to every request.
    """

    steps: list[Step] = field(default_factory=list)
    seconds: float = 0.1
    runs: list[str] = field(default_factory=list)
    running: int = 0
    max_running: int = 0

    async def exchange(
        self,
        request: UpstreamRequest,
        sink: ReplySink,
    ) -> Result[Completion, UpstreamFailure]:
        """Perform the next step of the script."""
        step = self.steps.pop(0) if self.steps else Step.ANSWER
        if step is Step.REFUSE_CONNECTION:
            return Err(NotConnected('scripted'))
        token = request.gate.open()
        if isinstance(token, Err):
            return Err(NotAuthorised(token.err_value.detail))
        if step is Step.SHED:
            return Err(Refused(RefusalReason.SHED))
        try:
            await _read_all(request.body)
        except BodyError as error:
            return Err(CallerLost(str(error)))
        self.runs.append(request.head.request_id)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await trio.sleep(inf if step is Step.FREEZE else self.seconds)
        finally:
            self.running -= 1
        if step is Step.CRASH:
            return Err(Unanswered('scripted'))
        number = len(self.runs)
        await sink.start(200, ())
        await sink.write(b'answer %d' % number)
        return Ok(Completion(200, ServerId('server-1'), 0, 8))

    async def aclose(self) -> None:
        """Do nothing."""


def pool_of(
    upstream: ScriptedUpstream,
    context: DispatchContext | None = None,
) -> DispatchPool:
    """Return a pool that uses the scripted server for every placement."""
    return DispatchPool(context or context_of(), lambda *_: upstream)


def kind_and_outcome(
    result: Result[Completion, Failure],
) -> tuple[FailureKind, Outcome]:
    """Return kind and outcome of a result that must be a failure."""
    assert isinstance(result, Err)
    return result.err_value.kind, result.err_value.outcome


def uuid7(at: float, number: int = 0) -> str:
    """Return an idempotency key with a timestamp in seconds since 1970."""
    milliseconds = int(at * 1000)
    value = milliseconds << 80 | 7 << 76 | 2 << 62 | number
    return str(UUID(int=value))
