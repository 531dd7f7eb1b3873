"""Arrivals of requests, drawn from a seed."""

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
_SHAPE = 4
_MICROSECONDS = 1_000_000
_CALLERS = 20


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that comes at a time.

    Args:
        number: Its number within the trace.
        at: When it comes, in seconds from the start.
        rank: Urgency class.
        work: Service time on a warm server in seconds.
        caller: Who sends it.
    """

    number: int
    at: float
    rank: Rank
    work: float
    caller: str


class EmptyBody:
    """A body without bytes."""

    async def receive(self) -> bytes:
        """Return the end."""
        return b''


class DropSink:
    """A receiver that keeps nothing."""

    async def start(self, status: int, headers: Headers) -> None:
        """Take the head."""

    async def write(self, chunk: bytes) -> None:
        """Take a part of the body."""


def poisson(
    random: Random,
    rank: Rank,
    slots: float,
    span: tuple[float, float],
    caller: str | None = None,
) -> list[Arrival]:
    """Return arrivals of one rank that would keep some slots busy.

    Args:
        random: Source of the draws.
        rank: Urgency class.
        slots: Mean number of slots that the work needs.
        span: Start and end in seconds.
        caller: Who sends all of them; otherwise one of many.
    """
    mean = MEAN_SECONDS_BY_RANK[rank]
    at, end = span
    arrivals: list[Arrival] = []
    while True:
        at += random.expovariate(slots / mean)
        if at >= end:
            return arrivals
        work = random.gammavariate(_SHAPE, mean / _SHAPE)
        sender = caller or f'caller-{random.randrange(_CALLERS)}'
        arrivals.append(Arrival(len(arrivals), at, rank, work, sender))


def call_of(
    arrival: Arrival,
    *,
    idempotency_key: str | None = None,
    extra: Headers = (),
) -> Call:
    """Return the request of an arrival."""
    work = b'%d' % (arrival.work * _MICROSECONDS)
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
