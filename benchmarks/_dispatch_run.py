"""Runs of arrivals over a forwarder on a virtual clock."""

import functools
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import trio
from result import Ok, Result

from benchmarks._dispatch_server import WIRE_SECONDS, FakeServer, FakeUpstream
from benchmarks._dispatch_traffic import SERVICE, Arrival, DropSink, call_of
from carobwalk.dispatch import DispatchContext, DispatchPool
from carobwalk.events import NullEventLog
from carobwalk.model import (
    Address,
    Clock,
    DataCentreName,
    Endpoint,
    Failure,
    FenceToken,
    Forwarder,
    Key,
    Placement,
    ProfileName,
    Rank,
    RegionName,
    ServerId,
    ServiceName,
    ShardNumber,
    TrioClock,
)
from carobwalk.ownership import NoLease
from carobwalk.profiles import Catalogue, Profile, Service

PROFILE = Profile(name=ProfileName('bench'))
Spread = Callable[[bytes], Awaitable[None]]

_HUNDRED = 100
_DIGITS = 4


@dataclass(frozen=True, slots=True)
class Record:
    """How a request ended.

    Args:
        arrival: The request.
        seconds: Time until its end.
        failure: Why it was not answered, if so.
    """

    arrival: Arrival
    seconds: float
    failure: Failure | None


@dataclass(frozen=True, slots=True)
class AlwaysLeased:
    """Leases that never lapse."""

    token: FenceToken = field(default_factory=lambda: FenceToken(1, 1))

    def authorise(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> Result[FenceToken, NoLease]:
        """Return the token."""
        return Ok(self.token)

    def held_since(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> float:
        """Return the begin of the run."""
        return 0


def endpoint_of(name: str) -> Endpoint:
    """Return an endpoint that nothing listens at."""
    return Endpoint(
        name=name,
        address=Address('127.0.0.1', 1),
        region=RegionName('north'),
        data_centre=DataCentreName('north-1'),
    )


def placement_of(server: FakeServer) -> Placement:
    """Return the placement of a key at a server."""
    return Placement(
        server=endpoint_of(server.name),
        dispatcher=endpoint_of('entry-1'),
        shard=ShardNumber(1),
        token=FenceToken(1, 1),
    )


async def keep(snapshot: bytes) -> None:
    """Tell no other entry."""


def pool_of(
    servers: Iterable[FakeServer],
    profile: Profile = PROFILE,
    spread: Spread = keep,
) -> DispatchPool:
    """Return the product's dispatchers before fake servers."""
    servers_by_name = {server.name: server for server in servers}
    context = DispatchContext(
        leases=AlwaysLeased(),
        catalogue=catalogue_of(profile),
        clock=TrioClock(),
        events=NullEventLog(),
        wall_clock=trio.current_time,
        broadcast=spread,
    )
    return DispatchPool(context, functools.partial(connect, servers_by_name))


def catalogue_of(profile: Profile = PROFILE) -> Callable[[], Catalogue]:
    """Return a source of a catalogue with one service."""
    service = Service(name=SERVICE, profile=profile.name)
    catalogue = Catalogue(
        revision=1,
        profiles_by_name={profile.name: profile},
        services_by_name={SERVICE: service},
    )
    return lambda: catalogue


def connect(
    servers_by_name: Mapping[str, FakeServer],
    server: Endpoint,
    limit: int,
    clock: Clock,
) -> FakeUpstream:
    """Return connections to a fake server."""
    return FakeUpstream(servers_by_name[server.name])


class Playback:
    """Sends arrivals at their times and keeps how they ended.

    Args:
        forwarder: Takes the requests.
        place: Gives the placement of an arrival.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        place: Callable[[Arrival], Placement],
    ) -> None:
        self._forwarder = forwarder
        self._place = place
        self.records: list[Record] = []

    async def run(self, arrivals: Iterable[Arrival]) -> list[Record]:
        """Return the records when all requests have ended."""
        origin = trio.current_time()
        async with trio.open_nursery() as nursery:
            for arrival in sorted(arrivals, key=lambda each: each.at):
                due = origin + arrival.at
                await trio.sleep(max(due - trio.current_time(), 0))
                nursery.start_soon(self._send, arrival)
        return self.records

    async def _send(self, arrival: Arrival) -> None:
        began_at = trio.current_time()
        ending = await self._forwarder.forward(
            call_of(arrival),
            self._place(arrival),
            DropSink(),
        )
        seconds = trio.current_time() - began_at
        self.records.append(Record(arrival, seconds, ending.err()))


def goodput(
    records: Iterable[Record],
    rank: Rank | None,
    span: tuple[float, float],
) -> float:
    """Return mean slots used for answers that came within a span.

    The time on the wire counts, since a slot is held meanwhile.
    """
    start, end = span
    work = sum(
        record.arrival.work + WIRE_SECONDS
        for record in records
        if record.failure is None
        and rank in {None, record.arrival.rank}
        and start <= record.arrival.at + record.seconds < end
    )
    return work / (end - start)


def percentile(sample: Sequence[float], percent: float) -> float:
    """Return a percentile of a sample; 0 where it is empty."""
    if not sample:
        return 0
    ordered = sorted(sample)
    index = min(int(len(ordered) * percent / _HUNDRED), len(ordered) - 1)
    return ordered[index]


def latency(
    records: Iterable[Record],
    rank: Rank,
    span: tuple[float, float],
    percent: float,
) -> float:
    """Return a percentile of the time to answer of one rank."""
    start, end = span
    sample = [
        record.seconds
        for record in records
        if record.failure is None
        and record.arrival.rank is rank
        and start <= record.arrival.at < end
    ]
    return percentile(sample, percent)


def rounded(figures: Mapping[str, float]) -> dict[str, float]:
    """Return figures as they are printed."""
    return {name: round(figure, _DIGITS) for name, figure in figures.items()}
