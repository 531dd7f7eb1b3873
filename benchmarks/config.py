"""Distribution of 3,000 configuration changes under faults."""

import json
import sys
from collections.abc import Mapping

import trio
from trio.testing import MockClock

from benchmarks._config_findings import LIMIT_SECONDS
from benchmarks._config_naive import POLL_SECONDS, NaiveRun
from benchmarks._config_trial import TrialSettings, run_trial

# All changes with the present number of processes, and a part of them with 200.
_SIZES = ((12, 3000), (200, 200))
_MEAN_PAUSE_SECONDS = 0.6
_P50_QUANTILE = 0.5
_P99_QUANTILE = 0.99
_DECIMALS = 4


def main(seed: int) -> int:
    """Run the product and a naive baseline and print the figures as JSON.

    Args:
        seed: Seed of writes and faults.

    Returns:
        0 if the targets are met, otherwise 1.
    """
    product = [
        _run_product(seed, processes, changes) for processes, changes in _SIZES
    ]
    naive = [
        _run_naive(seed, processes, changes) for processes, changes in _SIZES
    ]
    is_ok = all(map(_meets_targets, product))
    report = {
        'bench': 'config',
        'seed': seed,
        'product': product,
        'naive': naive,
        'target': {
            'most_seconds_to_force': LIMIT_SECONDS,
            'lost': 0,
            'reverted': 0,
            'late': 0,
        },
        'ok': is_ok,
    }
    sys.stdout.write(f'{json.dumps(report)}\n')
    return 0 if is_ok else 1


def _meets_targets(figures: Mapping[str, object]) -> bool:
    zero_figures = ('lost', 'reverted', 'late', 'fallen', 'diverged')
    max_seconds = figures['most_seconds_to_force']
    in_time = isinstance(max_seconds, float) and max_seconds <= LIMIT_SECONDS
    return in_time and all(figures[name] == 0 for name in zero_figures)


def _run_product(seed: int, processes: int, changes: int) -> dict[str, object]:
    settings = TrialSettings(
        seed=seed,
        processes=processes,
        changes=changes,
        pause=_MEAN_PAUSE_SECONDS,
    )
    report = trio.run(
        run_trial,
        settings,
        clock=MockClock(autojump_threshold=0),
    )
    findings = report.findings
    accepted = len(findings.accepted)
    return {
        'processes': processes,
        'accepted': accepted,
        'refused': len(findings.refused),
        'unknown_at_first': len(findings.unknown),
        'lost': len(report.lost),
        'reverted': len(report.reverted),
        'late': len(findings.late),
        'fallen': len(findings.fallen),
        'diverged': len(findings.diverged),
        **_summarise_delays(findings.delays),
        'seconds': round(report.seconds, 1),
        'spread_calls_per_second': round(
            report.spread_calls / report.seconds,
            2,
        ),
        'spread_calls_per_change': round(report.spread_calls / accepted, 2),
        'operator_calls_per_change': round(
            report.operator_calls / accepted,
            2,
        ),
        'peer_bytes_per_process_and_change': round(
            report.asked_bytes / accepted / processes,
        ),
    }


def _run_naive(seed: int, processes: int, changes: int) -> dict[str, object]:
    run = NaiveRun(seed, processes, changes, _MEAN_PAUSE_SECONDS)
    trio.run(run.run, clock=MockClock(autojump_threshold=0))
    written = run.findings.writes
    return {
        'processes': processes,
        'poll_seconds': POLL_SECONDS,
        'written': written,
        'reverted': run.findings.reverted,
        **_summarise_delays(run.findings.delays),
        'spread_calls_per_second': round(run.spread_calls / run.seconds, 2),
        'spread_calls_per_change': round(run.spread_calls / written, 2),
    }


def _summarise_delays(delays: list[float]) -> dict[str, object]:
    ordered = sorted(delays)
    last = len(ordered) - 1
    return {
        'p50_seconds_to_force': round(
            ordered[int(last * _P50_QUANTILE)], _DECIMALS
        ),
        'p99_seconds_to_force': round(
            ordered[int(last * _P99_QUANTILE)], _DECIMALS
        ),
        'most_seconds_to_force': round(ordered[-1], _DECIMALS),
    }
