"""Gray failures: servers that are slow, frozen or lying but seem healthy."""

import json
import sys
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

import trio
from trio.testing import MockClock

from benchmarks._dispatch_server import FakeServer, Fault
from benchmarks._gray_failure import (
    END_SECONDS,
    SERVERS,
    GrayFailure,
)

DETECTION_TARGET_SECONDS = 5
ANSWERED_TARGET = 0.98
_MAX_EJECTED = 2
_SLOW_FACTOR = 10


def _slow(server: FakeServer) -> None:
    server.factor = _SLOW_FACTOR


def _freeze(server: FakeServer) -> None:
    server.fault = Fault.FROZEN


def _lie(server: FakeServer) -> None:
    server.fault = Fault.LYING


_FAULTS_BY_NAME: Mapping[str, Callable[[FakeServer], None]] = MappingProxyType(
    {'slow': _slow, 'frozen': _freeze, 'lying': _lie},
)


def figures(seed: int, name: str) -> dict[str, dict[str, float]]:
    """Return the figures of one fault in all three modes."""
    inject_fault = _FAULTS_BY_NAME[name]
    return {
        'naive': _run(GrayFailure(seed).run_naive, inject_fault),
        'unkeyed': _run(GrayFailure(seed).run_unkeyed, inject_fault),
        'keyed': _run(GrayFailure(seed).run_keyed, inject_fault),
    }


def _run(
    mode: Callable[
        [Callable[[FakeServer], None]],
        Awaitable[dict[str, float]],
    ],
    inject_fault: Callable[[FakeServer], None],
) -> dict[str, float]:
    clock = MockClock(autojump_threshold=0)
    return trio.run(mode, inject_fault, clock=clock)


def meets_targets(name: str, modes: dict[str, dict[str, float]]) -> bool:
    """Return whether the product's figures of one fault meet the targets."""
    unkeyed, keyed = modes['unkeyed'], modes['keyed']
    slowest = max(
        mode.get('detected_after_s', END_SECONDS) for mode in (unkeyed, keyed)
    )
    is_found = name == 'slow' or slowest <= DETECTION_TARGET_SECONDS
    return all(
        (
            is_found,
            unkeyed['answered'] >= ANSWERED_TARGET,
            keyed['others_answered'] >= 1,
        ),
    )


def main(seed: int) -> int:
    """Run all faults and print the figures as JSON.

    Args:
        seed: Seed of the arrivals.

    Returns:
        0 if the targets are met, otherwise 1.
    """
    modes_by_fault = {name: figures(seed, name) for name in _FAULTS_BY_NAME}
    all_lie = _run(GrayFailure(seed, SERVERS).run_unkeyed, _lie)
    is_ok = all(
        meets_targets(name, modes) for name, modes in modes_by_fault.items()
    )
    report = {
        'bench': 'gray',
        'seed': seed,
        'servers': SERVERS,
        'faults': modes_by_fault,
        'most_ejected_while_all_lie': all_lie['most_ejected'],
        'target': {
            'detected_after_s': DETECTION_TARGET_SECONDS,
            'answered': ANSWERED_TARGET,
            'others_answered': 1,
            'most_ejected': _MAX_EJECTED,
        },
        'ok': is_ok and all_lie['most_ejected'] <= _MAX_EJECTED,
    }
    sys.stdout.write(f'{json.dumps(report)}\n')
    return 0 if report['ok'] else 1
