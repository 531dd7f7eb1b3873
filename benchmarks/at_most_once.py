"""At-most-once execution of repeated money-bearing actions under faults."""

import json
import sys
from collections.abc import Mapping

import trio
from trio.testing import MockClock

from benchmarks._dispatch_actions import SERVERS, ActionSimulation

ACTIONS = 50_000
_DECIMALS = 5


def figures(seed: int, *, is_naive: bool, actions: int) -> dict[str, object]:
    """Return the outcomes reported to callers, compared with runs on servers.

    Args:
        seed: Seed of actions and faults.
        is_naive: Whether entries send directly to the servers.
        actions: Number of actions.
    """
    simulation = ActionSimulation(seed, is_naive=is_naive)
    trio.run(simulation.run, actions, clock=MockClock(autojump_threshold=0))
    tally = simulation.tally
    runs = simulation.runs_by_action.values()
    unknown = tally.ends['unknown'] / tally.actions
    return {
        'actions': tally.actions,
        'tries': tally.tries,
        'doubled': sum(count > 1 for count in runs),
        'wrongly_not_run': tally.wrongly_not_run,
        'lost': tally.overrun + tally.answered_without_run,
        'ends_by_outcome': dict(tally.ends),
        'unknown_share': round(unknown, _DECIMALS),
    }


def is_safe(product: Mapping[str, object]) -> bool:
    """Return whether no action was run twice, lost or wrongly reported."""
    zero_figures = ('doubled', 'wrongly_not_run', 'lost')
    return all(product[name] == 0 for name in zero_figures)


def main(seed: int) -> int:
    """Send the actions and print the figures as JSON.

    Args:
        seed: Seed of actions and faults.

    Returns:
        0 if the targets are met, otherwise 1.
    """
    product = figures(seed, is_naive=False, actions=ACTIONS)
    naive = figures(seed, is_naive=True, actions=ACTIONS)
    is_ok = is_safe(product) and not is_safe(naive)
    report = {
        'bench': 'at_most_once',
        'seed': seed,
        'servers': SERVERS,
        'naive': naive,
        'product': product,
        'target': {
            'actions': ACTIONS,
            'doubled': 0,
            'wrongly_not_run': 0,
            'lost': 0,
        },
        'ok': is_ok,
    }
    sys.stdout.write(f'{json.dumps(report)}\n')
    return 0 if is_ok else 1
