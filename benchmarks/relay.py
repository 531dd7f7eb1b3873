"""Cost of the product against a bare pass-through proxy."""

import json
import random
import statistics
import tempfile
from collections import defaultdict
from pathlib import Path

import trio

from benchmarks._raw_caller import Timings, run_closed_loop, run_paced
from benchmarks._relay_scene import Ways, open_ways
from standins.processes import Processes

CALLERS = 16
ROUNDS = 5
ROUND_SECONDS = 2.0
PACED_RATE = 100.0
PACED_SECONDS = 4.0
LEAST_THROUGHPUT_SHARE = 0.5
MOST_ADDED_P99_RATIO = 3.0

_PATH = '/cases/a'
_SERVER = ('benchmarks._raw_server',)
_WAYS = (Ways.DIRECT, Ways.BARE, Ways.SAME, Ways.TWO)


def main(seed: int) -> int:
    """Measure all ways in turns, and print the figures.

    Args:
        seed: Seed of the order of the ways in each round.

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
        ways = await open_ways(processes, directory, _SERVER)
        for _ in range(ROUNDS):
            for turn in order.sample(_WAYS, len(_WAYS)):
                address = ways.addresses_by_way[turn]
                target = ways.target(turn, _PATH)
                full = await run_closed_loop(
                    address,
                    target,
                    CALLERS,
                    ROUND_SECONDS,
                )
                rates[turn].append(len(full.seconds) / ROUND_SECONDS)
                part = await run_paced(
                    address,
                    target,
                    PACED_RATE,
                    PACED_SECONDS,
                )
                paced[turn].seconds.extend(part.seconds)
                failed += full.failed + part.failed
    return _report(
        {way: statistics.median(found) for way, found in rates.items()},
        {way: found.quantile_ms(0.5) for way, found in paced.items()},
        {way: found.quantile_ms(0.99) for way, found in paced.items()},
        failed,
    )


def _report(
    rates: dict[str, float],
    p50_ms: dict[str, float],
    p99_ms: dict[str, float],
    failed: int,
) -> dict[str, object]:
    added = {way: p99_ms[way] - p99_ms[Ways.DIRECT] for way in _WAYS}
    shares = {way: rates[way] / rates[Ways.BARE] for way in _WAYS}
    ratios = {way: added[way] / added[Ways.BARE] for way in _WAYS}
    is_met = (
        not failed
        and shares[Ways.SAME] >= LEAST_THROUGHPUT_SHARE
        and ratios[Ways.SAME] <= MOST_ADDED_P99_RATIO
    )
    figures = {
        way: {
            'per_second': round(rates[way]),
            'throughput_share': round(shares[way], 2),
            'p50_ms': round(p50_ms[way], 2),
            'p99_ms': round(p99_ms[way], 2),
            'added_p99_ratio': round(ratios[way], 2),
        }
        for way in _WAYS
    }
    return {
        'baseline': figures[Ways.BARE],
        'product': figures[Ways.SAME],
        'product_two_processes': figures[Ways.TWO],
        'direct': figures[Ways.DIRECT],
        'failed': failed,
        'target': {
            'throughput_share': LEAST_THROUGHPUT_SHARE,
            'added_p99_ratio': MOST_ADDED_P99_RATIO,
        },
        'ok': is_met,
    }
