"""Concurrency limits with a server whose actual capacity changes."""

from dataclasses import replace
from random import Random

import trio
from trio.testing import MockClock

from benchmarks._dispatch_naive import NaiveForwarder
from benchmarks._dispatch_run import (
    PROFILE,
    Playback,
    Record,
    goodput,
    make_placement,
    make_pool,
    round_figures,
)
from benchmarks._dispatch_server import FakeServer
from benchmarks._dispatch_traffic import SLOTS, Arrival, poisson_arrivals
from carobwalk.model import FailureKind, Forwarder, Rank

LIMITS = ('slots', 'aimd', 'adaptive-delay')

# Start of each phase in seconds, and the concurrency of the server in it.
_PHASES = ((0, 4), (20, 2), (40, 4), (60, 1), (80, 3))
_PHASE_SECONDS = 20
_END_SECONDS = 100.0
_SETTLED_SECONDS = 5


def limit_figures(seed: int, load: float, limit: str) -> dict[str, float]:
    """Return goodput and refusals under one concurrency limit.

    Args:
        seed: Seed of the arrivals.
        load: Mean work as a share of the slots.
        limit: Limit policy, or ``naive`` for the baseline.
    """
    random = Random(seed)
    arrivals: list[Arrival] = []
    for rank in (Rank.LOOKUP, Rank.MONEY):
        arrivals.extend(
            poisson_arrivals(random, rank, load * SLOTS / 2, (0, _END_SECONDS))
        )
    server = FakeServer(name='server-1', started_at=-_END_SECONDS, backlog=0)
    clock = MockClock(autojump_threshold=0)
    records = trio.run(_replay_arrivals, arrivals, limit, server, clock=clock)
    shed = sum(
        record.failure is not None and record.failure.kind is FailureKind.SHED
        for record in records
    )
    phases = {
        f'goodput_at_{slots}_from_{start}': goodput(
            records,
            None,
            (start + _SETTLED_SECONDS, start + _PHASE_SECONDS),
        )
        for start, slots in _PHASES
    }
    return round_figures(
        {
            **phases,
            'sheds_per_send': server.sheds / server.sends,
            'callers_shed': shed / len(records),
            'answered': sum(each.failure is None for each in records)
            / len(records),
        },
    )


async def _replay_arrivals(
    arrivals: list[Arrival],
    limit: str,
    server: FakeServer,
) -> list[Record]:
    forwarder: Forwarder = NaiveForwarder(lambda _: server)
    if limit != 'naive':
        profile = replace(PROFILE, limit_policy=limit)
        forwarder = make_pool([server], profile)
    placement = make_placement(server)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_apply_phases, server)
        return await Playback(forwarder, lambda _: placement).run(arrivals)


async def _apply_phases(server: FakeServer) -> None:
    for start, slots in _PHASES:
        await trio.sleep_until(start)
        server.resize(slots)
