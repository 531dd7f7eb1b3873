"""Throughput and latency of the product compared to a bare proxy."""

import json
import random
import statistics
import tempfile
from collections import defaultdict
from pathlib import Path

import trio

from benchmarks._raw_caller import Timings, run_closed_loop, run_paced
from benchmarks._relay_routes import Routes, open_routes
from standins.processes import Processes

CALLERS = 16
ROUNDS = 5
ROUND_SECONDS = 2.0
PACED_RATE = 100.0
PACED_SECONDS = 4.0
MIN_THROUGHPUT_SHARE = 0.5
MAX_ADDED_P99_RATIO = 3.0

_PATH = '/cases/a'
_SERVER_MODULE = ('benchmarks._raw_server',)
_ROUTES = (
    Routes.DIRECT,
    Routes.BARE_PROXY,
    Routes.SAME_PROCESS,
    Routes.TWO_PROCESSES,
)


def main(seed: int) -> int:
    """Measure all routes in turns and print the figures as JSON.

    Args:
        seed: Seed of the order of the routes in each round.

    Returns:
        0 if the targets are met, 1 if not.
    """
    with tempfile.TemporaryDirectory() as directory:
        report = trio.run(_measure, Path(directory), random.Random(seed))
    print(json.dumps({'seed': seed, **report}))
    return 0 if report['ok'] else 1


async def _measure(directory: Path, order: random.Random) -> dict[str, object]:
    rates: dict[str, list[float]] = defaultdict(list)
    paced: dict[str, Timings] = defaultdict(Timings)
    failed = 0
    async with Processes(directory) as processes:
        routes = await open_routes(processes, directory, _SERVER_MODULE)
        for _ in range(ROUNDS):
            for sampled in order.sample(_ROUTES, len(_ROUTES)):
                address = routes.addresses_by_route[sampled]
                target = routes.target(sampled, _PATH)
                closed_loop = await run_closed_loop(
                    address,
                    target,
                    CALLERS,
                    ROUND_SECONDS,
                )
                rates[sampled].append(len(closed_loop.seconds) / ROUND_SECONDS)
                paced_run = await run_paced(
                    address,
                    target,
                    PACED_RATE,
                    PACED_SECONDS,
                )
                paced[sampled].seconds.extend(paced_run.seconds)
                failed += closed_loop.failed + paced_run.failed
    return _report(
        {route: statistics.median(found) for route, found in rates.items()},
        {route: found.quantile_ms(0.5) for route, found in paced.items()},
        {route: found.quantile_ms(0.99) for route, found in paced.items()},
        failed,
    )


def _report(
    rates: dict[str, float],
    p50_ms: dict[str, float],
    p99_ms: dict[str, float],
    failed: int,
) -> dict[str, object]:
    added = {route: p99_ms[route] - p99_ms[Routes.DIRECT] for route in _ROUTES}
    shares = {
        route: rates[route] / rates[Routes.BARE_PROXY] for route in _ROUTES
    }
    ratios = {
        route: added[route] / added[Routes.BARE_PROXY] for route in _ROUTES
    }
    is_met = (
        not failed
        and shares[Routes.SAME_PROCESS] >= MIN_THROUGHPUT_SHARE
        and ratios[Routes.SAME_PROCESS] <= MAX_ADDED_P99_RATIO
    )
    figures = {
        route: {
            'per_second': round(rates[route]),
            'throughput_share': round(shares[route], 2),
            'p50_ms': round(p50_ms[route], 2),
            'p99_ms': round(p99_ms[route], 2),
            'added_p99_ratio': round(ratios[route], 2),
        }
        for route in _ROUTES
    }
    return {
        'baseline': figures[Routes.BARE_PROXY],
        'product': figures[Routes.SAME_PROCESS],
        'product_two_processes': figures[Routes.TWO_PROCESSES],
        'direct': figures[Routes.DIRECT],
        'failed': failed,
        'target': {
            'throughput_share': MIN_THROUGHPUT_SHARE,
            'added_p99_ratio': MAX_ADDED_P99_RATIO,
        },
        'ok': is_met,
    }
