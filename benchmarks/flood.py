"""Floods of one rank at ten times the capacity of a backend server."""

import json
import sys
from collections.abc import Mapping
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
    latency_percentile,
    make_placement,
    make_pool,
    round_figures,
)
from benchmarks._dispatch_server import FakeServer
from benchmarks._dispatch_traffic import SLOTS, Arrival, poisson_arrivals
from carobwalk.model import Forwarder, Rank

FLOOD_FACTOR = 10
KEPT_TARGET = 0.9
P99_TARGET = 1.5
GOODPUT_TARGET = 0.95
RECOVERY_TARGET_SECONDS = 2
AFTER_TARGET = 0.95

_USUAL_LOAD_OF_SHARE = 0.7
_FLOOD_SPAN_SECONDS = (20.0, 40.0)
_END_SECONDS = 60.0
_AFTER_SPAN_SECONDS = (
    _FLOOD_SPAN_SECONDS[1] + RECOVERY_TARGET_SECONDS,
    _END_SECONDS,
)
_P99_PERCENT = 99


def usual_traffic(seed: int) -> list[Arrival]:
    """Return arrivals of each rank within its guaranteed share."""
    random = Random(seed)
    arrivals: list[Arrival] = []
    for rank in Rank:
        slots = PROFILE.shares[rank] * SLOTS * _USUAL_LOAD_OF_SHARE
        arrivals.extend(
            poisson_arrivals(random, rank, slots, (0, _END_SECONDS))
        )
    return arrivals


def flood_traffic(seed: int, rank: Rank) -> list[Arrival]:
    """Return the arrivals of a flood, in addition to the usual ones."""
    random = Random(seed + 1)
    return poisson_arrivals(
        random, rank, FLOOD_FACTOR * SLOTS, _FLOOD_SPAN_SECONDS
    )


def run(
    arrivals: list[Arrival],
    policy: str | None,
) -> tuple[list[Record], FakeServer]:
    """Send arrivals to one warm server.

    Args:
        arrivals: Requests to send.
        policy: Queue policy of the product; ``None`` for the baseline.
    """
    server = FakeServer(name='server-1', started_at=-_END_SECONDS)
    clock = MockClock(autojump_threshold=0)
    records = trio.run(_replay_arrivals, arrivals, policy, server, clock=clock)
    return records, server


async def _replay_arrivals(
    arrivals: list[Arrival],
    policy: str | None,
    server: FakeServer,
) -> list[Record]:
    forwarder: Forwarder = NaiveForwarder(lambda _: server)
    if policy is not None:
        profile = replace(PROFILE, dispatch_policy=policy)
        forwarder = make_pool([server], profile)
    placement = make_placement(server)
    return await Playback(forwarder, lambda _: placement).run(arrivals)


def figures(
    seed: int,
    flooded: Rank,
    policy: str | None,
) -> dict[str, float]:
    """Return the figures of one flood under one policy.

    Args:
        seed: Seed of the arrivals.
        flooded: Rank of the flood.
        policy: Queue policy of the product; ``None`` for the baseline.
    """
    usual = usual_traffic(seed)
    quiet, _ = run(usual, policy)
    records, server = run(usual + flood_traffic(seed, flooded), policy)
    kept = [
        goodput(records, rank, _FLOOD_SPAN_SECONDS)
        / goodput(quiet, rank, _FLOOD_SPAN_SECONDS)
        for rank in Rank
        if rank is not flooded
    ]
    quiet_p99, flood_p99 = (
        latency_percentile(
            sample, Rank.LOOKUP, _FLOOD_SPAN_SECONDS, _P99_PERCENT
        )
        for sample in (quiet, records)
    )
    after = [
        goodput(records, rank, _AFTER_SPAN_SECONDS)
        / goodput(quiet, rank, _AFTER_SPAN_SECONDS)
        for rank in Rank
    ]
    return {
        'least_kept_by_other_ranks': min(kept),
        'lookup_p99_quiet_s': quiet_p99,
        'lookup_p99_flood_s': flood_p99,
        'goodput_of_capacity': goodput(records, None, _FLOOD_SPAN_SECONDS)
        / SLOTS,
        'least_goodput_after_of_quiet': min(after),
        'lookup_p99_after_quiet_s': latency_percentile(
            quiet, Rank.LOOKUP, _AFTER_SPAN_SECONDS, _P99_PERCENT
        ),
        'lookup_p99_after_s': latency_percentile(
            records, Rank.LOOKUP, _AFTER_SPAN_SECONDS, _P99_PERCENT
        ),
        'most_at_server': server.most_present,
    }


def meets_targets(flooded: Rank, product: Mapping[str, float]) -> bool:
    """Return whether the figures of one flood meet all targets."""
    ratio = product['lookup_p99_flood_s'] / product['lookup_p99_quiet_s']
    after = product['lookup_p99_after_s'] / product['lookup_p99_after_quiet_s']
    if flooded is not Rank.BULK:
        ratio = 0
    return all(
        (
            product['least_kept_by_other_ranks'] >= KEPT_TARGET,
            product['goodput_of_capacity'] >= GOODPUT_TARGET,
            product['least_goodput_after_of_quiet'] >= AFTER_TARGET,
            product['most_at_server'] <= SLOTS,
            max(ratio, after) <= P99_TARGET,
        ),
    )


def main(seed: int) -> int:
    """Run the three floods and print the figures as JSON.

    Args:
        seed: Seed of the arrivals.

    Returns:
        0 if all targets are met, otherwise 1.
    """
    floods: dict[str, object] = {}
    is_ok = True
    for flooded in (Rank.BULK, Rank.LOOKUP, Rank.MONEY):
        product = figures(seed, flooded, PROFILE.dispatch_policy)
        naive = figures(seed, flooded, None)
        is_ok = is_ok and meets_targets(flooded, product)
        floods[flooded.value] = {
            'naive': round_figures(naive),
            'product': round_figures(product),
        }
    report = {
        'bench': 'flood',
        'seed': seed,
        'usual_load_of_share': _USUAL_LOAD_OF_SHARE,
        'floods': floods,
        'target': {
            'least_kept_by_other_ranks': KEPT_TARGET,
            'lookup_p99_bulk_flood_over_quiet': P99_TARGET,
            'lookup_p99_after_over_quiet': P99_TARGET,
            'goodput_of_capacity': GOODPUT_TARGET,
            'recovery_s': RECOVERY_TARGET_SECONDS,
            'least_goodput_after_of_quiet': AFTER_TARGET,
        },
        'ok': is_ok,
    }
    sys.stdout.write(f'{json.dumps(report)}\n')
    return 0 if is_ok else 1
