"""Time without service after losses of owners and coordinators."""

import json
import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

from benchmarks._losses import LossResult, run_loss

TARGET_SECONDS: Final = 1
MIN_LOSSES: Final = 200


@dataclass(frozen=True, slots=True)
class Case:
    """Losses of one kind.

    Args:
        kind: Kind of the loss.
        store: State of the store.
        count: Number of losses.
        reason: Why the target does not apply; empty where it does.
    """

    kind: str
    store: str
    count: int
    reason: str = ''


CASES: Final = (
    Case('crash_owner', 'up', 20),
    Case('crash_owner', 'down', 20),
    Case('crash_owner', 'slow', 20),
    Case('silence_owner', 'up', 15),
    Case('silence_owner', 'down', 15),
    Case('silence_owner', 'slow', 15),
    Case('freeze_owner', 'up', 15),
    Case('freeze_owner', 'down', 15),
    Case('freeze_owner', 'slow', 15),
    Case('crash_coordinator', 'up', 15),
    Case('crash_coordinator', 'slow', 15),
    Case('silence_coordinator', 'up', 10),
    Case('silence_coordinator', 'slow', 10),
    Case('crash_owner_and_other', 'up', 10),
    Case('crash_data_centre', 'up', 10),
    Case(
        'crash_coordinator',
        'down',
        4,
        'nobody can be elected while the store is down',
    ),
    Case(
        'crash_owner_and_own',
        'up',
        4,
        'a new coordinator waits until the host list drops the silent owner',
    ),
    Case(
        'crash_owner_and_other',
        'slow',
        4,
        'a slow store makes coordinators autonomous: takeovers need both names',
    ),
    Case(
        'crash_owner_and_store',
        'down',
        4,
        'the epoch cannot be checked and the owner had agreed to no autonomy',
    ),
)


def run(seed: int) -> dict[str, Any]:
    """Return the figures of all cases.

    Args:
        seed: Seed of all choices.
    """
    rows = [_run_case(case, seed + number) for number, case in enumerate(CASES)]
    promised = [row for row in rows if not row['outside_because']]
    losses = sum(row['losses'] for row in promised)
    worst = max(row['max_seconds'] for row in promised)
    double = sum(row['double_ownership'] for row in rows)
    return {
        'benchmark': 'unavailable',
        'seed': seed,
        'target_seconds': TARGET_SECONDS,
        'promised_losses': losses,
        'promised_max_seconds': worst,
        'promised_median_seconds': statistics.median(
            row['median_seconds'] for row in promised
        ),
        'double_ownership': double,
        'naive_max_seconds': max(row['naive_max_seconds'] for row in rows),
        'naive_double_samples': sum(row['naive_double'] for row in rows),
        'cases': rows,
        'ok': (losses >= MIN_LOSSES and worst <= TARGET_SECONDS and not double),
    }


def _run_case(case: Case, seed: int) -> dict[str, Any]:
    results = [
        run_loss(case.kind, case.store, seed * 1000 + number)
        for number in range(case.count)
    ]
    return {
        'kind': case.kind,
        'store': case.store,
        'losses': case.count,
        'outside_because': case.reason,
        **_summarise(results),
    }


def _summarise(results: Iterable[LossResult]) -> dict[str, Any]:
    found = list(results)
    gaps = [result.gap for result in found]
    naive = [result.naive_gap for result in found]
    return {
        'median_seconds': statistics.median(gaps),
        'max_seconds': max(gaps),
        'double_ownership': sum(result.double for result in found),
        'naive_median_seconds': statistics.median(naive),
        'naive_max_seconds': max(naive),
        'naive_double': sum(result.naive_double for result in found),
    }


def main(seed: int) -> int:
    """Print the figures as JSON and return the exit code."""
    figures = run(seed)
    print(json.dumps(figures))
    return 0 if figures['ok'] else 1
