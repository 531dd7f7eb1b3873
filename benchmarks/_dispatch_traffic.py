"""Random arrivals of requests."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from types import MappingProxyType

from benchmarks._dispatch_server import WORK_HEADER
from carobwalk.model import (
    Call,
    Headers,
    Key,
    Rank,
    RequestHead,
    RequestId,
    ServiceName,
)

SERVICE = ServiceName('claims-ledger')
SLOTS = 4
MEAN_SECONDS_BY_RANK: Mapping[Rank, float] = MappingProxyType(
    {Rank.LOOKUP: 0.02, Rank.MONEY: 0.05, Rank.BULK: 0.2},
)
DEADLINES_BY_RANK: Mapping[Rank, float] = MappingProxyType(
    {Rank.LOOKUP: 2, Rank.MONEY: 5, Rank.BULK: 20},
)
_GAMMA_SHAPE = 4
_MICROSECONDS_PER_SECOND = 1_000_000
_CALLER_COUNT = 20


@dataclass(frozen=True, slots=True)
class Arrival:
    """Request that arrives at a given time.

    Args:
        number: Number within the trace.
        at: Arrival time in seconds from the start.
        rank: Rank of the request.
        work: Service time on a warm server in seconds.
        caller: Name of the caller.
    """

    number: int
    at: float
    rank: Rank
    work: float
    caller: str


class EmptyBody:
    """Empty request body."""

    async def receive(self) -> bytes:
        """Return the end of the body."""
        return b''


class DiscardingSink:
    """Sink that discards the answer."""

    async def start(self, status: int, headers: Headers) -> None:
        """Discard the head."""

    async def write(self, chunk: bytes) -> None:
        """Discard a part of the body."""


def poisson_arrivals(
    random: Random,
    rank: Rank,
    slots: float,
    span: tuple[float, float],
    caller: str | None = None,
) -> list[Arrival]:
    """Return Poisson arrivals of one rank with gamma-distributed work.

    Args:
        random: Source of the draws.
        rank: Rank of the requests.
        slots: Mean number of slots that the work occupies.
        span: Start and end in seconds.
        caller: Name of the only caller; ``None`` for a random one of many.
    """
    mean = MEAN_SECONDS_BY_RANK[rank]
    at, end = span
    arrivals: list[Arrival] = []
    while True:
        at += random.expovariate(slots / mean)
        if at >= end:
            return arrivals
        work = random.gammavariate(_GAMMA_SHAPE, mean / _GAMMA_SHAPE)
        sender = caller or f'caller-{random.randrange(_CALLER_COUNT)}'
        arrivals.append(Arrival(len(arrivals), at, rank, work, sender))


def make_call(
    arrival: Arrival,
    *,
    idempotency_key: str | None = None,
    extra: Headers = (),
) -> Call:
    """Return the request of an arrival.

    Args:
        arrival: The arrival.
        idempotency_key: Idempotency key of an action.
        extra: Headers in addition to the one that states the work.
    """
    work = b'%d' % (arrival.work * _MICROSECONDS_PER_SECOND)
    is_money = arrival.rank is Rank.MONEY
    head = RequestHead(
        request_id=RequestId(f'{arrival.rank.value}-{arrival.number}'),
        service=SERVICE,
        rank=arrival.rank,
        method='POST' if is_money else 'GET',
        target=f'/{SERVICE}/{arrival.number}',
        headers=((WORK_HEADER, work), *extra),
        key=Key(str(arrival.number)),
        deadline=DEADLINES_BY_RANK[arrival.rank],
        idempotent=not is_money,
        idempotency_key=idempotency_key,
        caller=arrival.caller,
        body_length=0,
    )
    return Call(head=head, body=EmptyBody())
