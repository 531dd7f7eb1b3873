"""Goodput and latency by rank as the load exceeds the capacity."""

import json
import sys
from collections.abc import Mapping
from dataclasses import asdict, dataclass, replace
from random import Random
from types import MappingProxyType

import trio
from trio.testing import MockClock

from benchmarks._dispatch_limits import LIMITS, limit_figures
from benchmarks._dispatch_naive import NaiveForwarder
from benchmarks._dispatch_run import (
    PROFILE,
    Playback,
    Record,
    goodput,
    latency_percentile,
    make_placement,
    make_pool,
    round_figures,
)
from benchmarks._dispatch_server import FakeServer
from benchmarks._dispatch_traffic import SLOTS, Arrival, poisson_arrivals
from carobwalk.model import Forwarder, Rank

LOADS = (0.5, 1.0, 1.5, 2.0, 3.0)
LIMIT_LOADS = (0.4, 1.5)
KEPT_TARGET = 0.9
VALUES_BY_RANK: Mapping[Rank, float] = MappingProxyType(
    {Rank.LOOKUP: 1, Rank.MONEY: 5, Rank.BULK: 4},
)

_END_SECONDS = 30.0
_MEASURED_SPAN_SECONDS = (5.0, _END_SECONDS)
_MEDIAN_PERCENT = 50
_P99_PERCENT = 99
_DECIMALS = 4


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """Figures of one load under one policy.

    Args:
        value_of_optimum: Value served as a share of its upper bound.
        ranks: Figures by name of the rank.
    """

    value_of_optimum: float
    ranks: dict[str, dict[str, float]]


def traffic(seed: int, load: float) -> list[Arrival]:
    """Return arrivals of all ranks, each in proportion to its share.

    Args:
        seed: Seed of the draws.
        load: Mean work as a share of the capacity.
    """
    random = Random(seed)
    arrivals: list[Arrival] = []
    for rank in Rank:
        slots = PROFILE.shares[rank] * SLOTS * load
        arrivals.extend(
            poisson_arrivals(random, rank, slots, (0, _END_SECONDS))
        )
    return arrivals


def max_value(arrivals: list[Arrival]) -> float:
    """Return an upper bound on the value that any schedule can serve.

    The slot time of the whole trace is filled with the requests of highest
    value per work, regardless of their arrival times and deadlines.
    """
    free_seconds = SLOTS * _END_SECONDS
    value: float = 0
    by_density = sorted(
        arrivals,
        key=lambda each: VALUES_BY_RANK[each.rank] / each.work,
        reverse=True,
    )
    for arrival in by_density:
        part = min(1, max(free_seconds, 0) / arrival.work)
        value += part * VALUES_BY_RANK[arrival.rank]
        free_seconds -= arrival.work
    return value


def figures(seed: int, load: float, policy: str | None) -> LoadFigures:
    """Return the figures of one load under one policy.

    Args:
        seed: Seed of the arrivals.
        load: Mean work as a share of the capacity.
        policy: Queue policy of the product; ``None`` for the baseline.
    """
    arrivals = traffic(seed, load)
    clock = MockClock(autojump_threshold=0)
    records = trio.run(_replay_arrivals, arrivals, policy, clock=clock)
    served = sum(
        VALUES_BY_RANK[record.arrival.rank]
        for record in records
        if record.failure is None
        and record.arrival.at + record.seconds <= _END_SECONDS
    )
    return LoadFigures(
        value_of_optimum=round(served / max_value(arrivals), _DECIMALS),
        ranks={rank.value: _rank_figures(records, rank) for rank in Rank},
    )


async def _replay_arrivals(
    arrivals: list[Arrival], policy: str | None
) -> list[Record]:
    server = FakeServer(name='server-1', started_at=-_END_SECONDS)
    placement = make_placement(server)
    forwarder: Forwarder = NaiveForwarder(lambda _: server)
    if policy is not None:
        profile = replace(PROFILE, dispatch_policy=policy)
        forwarder = make_pool([server], profile)
    return await Playback(forwarder, lambda _: placement).run(arrivals)


def _rank_figures(records: list[Record], rank: Rank) -> dict[str, float]:
    own = [record for record in records if record.arrival.rank is rank]
    start, end = _MEASURED_SPAN_SECONDS
    offered = sum(
        record.arrival.work
        for record in own
        if start <= record.arrival.at < end
    )
    return round_figures(
        {
            'offered_slots': offered / (end - start),
            'goodput_slots': goodput(records, rank, _MEASURED_SPAN_SECONDS),
            'p50_s': latency_percentile(
                records, rank, _MEASURED_SPAN_SECONDS, _MEDIAN_PERCENT
            ),
            'p99_s': latency_percentile(
                records, rank, _MEASURED_SPAN_SECONDS, _P99_PERCENT
            ),
            'refused': sum(each.failure is not None for each in own) / len(own),
        },
    )


def keeps_shares(ranks: Mapping[str, Mapping[str, float]]) -> bool:
    """Return whether each rank gets its guaranteed share or all it needs."""
    return all(
        ranks[rank.value]['goodput_slots']
        >= KEPT_TARGET
        * min(
            PROFILE.shares[rank] * SLOTS,
            ranks[rank.value]['offered_slots'],
        )
        for rank in Rank
    )


def main(seed: int) -> int:
    """Run all loads and print the figures as JSON.

    Args:
        seed: Seed of the arrivals.

    Returns:
        0 if the targets are met, otherwise 1.
    """
    policies = ('fifo', 'strict', 'deficit-round-robin', 'guaranteed-shares')
    runs: dict[str, object] = {}
    is_ok = True
    for load in LOADS:
        run = {policy: figures(seed, load, policy) for policy in policies}
        run['naive'] = figures(seed, load, None)
        product = run[PROFILE.dispatch_policy]
        is_ok = is_ok and keeps_shares(product.ranks)
        runs[str(load)] = {name: asdict(each) for name, each in run.items()}
    report = {
        'bench': 'ranks',
        'seed': seed,
        'product': PROFILE.dispatch_policy,
        'runs_by_load': runs,
        'limits_by_load': {
            str(limited): {
                limit: limit_figures(seed, limited, limit)
                for limit in (*LIMITS, 'naive')
            }
            for limited in LIMIT_LOADS
        },
        'target': {'kept_of_guaranteed_share': KEPT_TARGET},
        'ok': is_ok,
    }
    sys.stdout.write(f'{json.dumps(report)}\n')
    return 0 if is_ok else 1
