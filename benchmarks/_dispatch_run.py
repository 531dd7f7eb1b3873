"""Playback of arrivals through a forwarder on a virtual clock."""

import functools
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import trio
from result import Ok, Result

from benchmarks._dispatch_server import WIRE_SECONDS, FakeServer, FakeUpstream
from benchmarks._dispatch_traffic import (
    SERVICE,
    Arrival,
    DiscardingSink,
    make_call,
)
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
Broadcast = Callable[[bytes], Awaitable[None]]

_MAX_PERCENT = 100
_DECIMALS = 4


@dataclass(frozen=True, slots=True)
class Record:
    """Outcome of one request.

    Args:
        arrival: Arrival that caused the request.
        seconds: Time from sending to the outcome, in seconds.
        failure: Why it was not answered; ``None`` if it was.
    """

    arrival: Arrival
    seconds: float
    failure: Failure | None


@dataclass(frozen=True, slots=True)
class AlwaysLeased:
    """Leases that never expire."""

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
        """Return the time at which the run begins."""
        return 0


def make_unused_endpoint(name: str) -> Endpoint:
    """Return an endpoint on which nothing listens."""
    return Endpoint(
        name=name,
        address=Address('127.0.0.1', 1),
        region=RegionName('north'),
        data_centre=DataCentreName('north-1'),
    )


def make_placement(server: FakeServer) -> Placement:
    """Return the placement of a key on a server."""
    return Placement(
        server=make_unused_endpoint(server.name),
        dispatcher=make_unused_endpoint('entry-1'),
        shard=ShardNumber(1),
        token=FenceToken(1, 1),
    )


async def discard_snapshot(snapshot: bytes) -> None:
    """Ignore a quarantine instead of sending it to other entries."""


def make_pool(
    servers: Iterable[FakeServer],
    profile: Profile = PROFILE,
    broadcast: Broadcast = discard_snapshot,
) -> DispatchPool:
    """Return the dispatchers of the product, connected to fake servers.

    Args:
        servers: Servers to dispatch to.
        profile: Profile of their service.
        broadcast: Sends the quarantine to other entries.
    """
    servers_by_name = {server.name: server for server in servers}
    context = DispatchContext(
        leases=AlwaysLeased(),
        catalogue=make_catalogue(profile),
        clock=TrioClock(),
        events=NullEventLog(),
        wall_clock=trio.current_time,
        broadcast=broadcast,
    )
    return DispatchPool(context, functools.partial(connect, servers_by_name))


def make_catalogue(profile: Profile = PROFILE) -> Callable[[], Catalogue]:
    """Return a function that returns a catalogue with one service."""
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
    """Return the connections to a fake server by its endpoint."""
    return FakeUpstream(servers_by_name[server.name])


class Playback:
    """Sends arrivals at their times and records the outcomes.

    Args:
        forwarder: Receives the requests.
        choose_placement: Returns the placement of an arrival.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        choose_placement: Callable[[Arrival], Placement],
    ) -> None:
        self._forwarder = forwarder
        self._choose_placement = choose_placement
        self.records: list[Record] = []

    async def run(self, arrivals: Iterable[Arrival]) -> list[Record]:
        """Send all arrivals; return the records when all have ended."""
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
            make_call(arrival),
            self._choose_placement(arrival),
            DiscardingSink(),
        )
        seconds = trio.current_time() - began_at
        self.records.append(Record(arrival, seconds, ending.err()))


def goodput(
    records: Iterable[Record],
    rank: Rank | None,
    span: tuple[float, float],
) -> float:
    """Return the mean number of slots used by answers within a time span.

    Network time counts as well, since the slot is held during it.

    Args:
        records: Outcomes of all requests.
        rank: Rank to count; ``None`` for all ranks.
        span: Start and end in seconds.

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
    index = min(int(len(ordered) * percent / _MAX_PERCENT), len(ordered) - 1)
    return ordered[index]


def latency_percentile(
    records: Iterable[Record],
    rank: Rank,
    span: tuple[float, float],
    percent: float,
) -> float:
    """Return a percentile of the latency of one rank, in seconds.

    Args:
        records: Outcomes of all requests.
        rank: Rank to count.
        span: Start and end of the arrivals to count, in seconds.
        percent: Percentile, from 0 to 100.
    """
    start, end = span
    sample = [
        record.seconds
        for record in records
        if record.failure is None
        and record.arrival.rank is rank
        and start <= record.arrival.at < end
    ]
    return percentile(sample, percent)


def round_figures(figures: Mapping[str, float]) -> dict[str, float]:
    """Return figures rounded to the printed number of decimals."""
    return {name: round(figure, _DECIMALS) for name, figure in figures.items()}
