"""Poison requests that crash every server that runs them, with repeats."""

import json
import sys
from functools import partial
from random import Random

import trio
from trio.testing import MockClock

from benchmarks._dispatch_fleet import Fleet, Repeats, fleet_traffic
from benchmarks._dispatch_server import POISON_HEADER
from benchmarks._dispatch_traffic import Arrival, make_call
from carobwalk.model import Call, FailureKind, Rank

SERVERS = 8
POISONS = 6
MAX_LOST_PER_POISON = 2

_TRACE_SECONDS = 60.0
_LOAD = 0.5
_FIRST_POISON_SECONDS = 5
_POISON_INTERVAL_SECONDS = 8
_MAX_POISON_TRIES = 40
_MAX_INNOCENT_TRIES = 4
_RESTART_INTERVAL_SECONDS = 3
_FIRST_POISON_NUMBER = 1_000_000
_POISON_WORK_SECONDS = 0.05


def figures(seed: int, *, is_naive: bool) -> dict[str, int]:
    """Return the numbers of lost servers and affected requests."""
    play = partial(_simulate, seed, is_naive=is_naive)
    return trio.run(play, clock=MockClock(autojump_threshold=0))


async def _simulate(seed: int, *, is_naive: bool) -> dict[str, int]:
    random = Random(seed)
    fleet = Fleet(SERVERS, is_naive=is_naive)
    innocent = Repeats()
    poison = Repeats()
    async with trio.open_nursery() as background:
        background.start_soon(fleet.restart_crashed, _RESTART_INTERVAL_SECONDS)
        async with trio.open_nursery() as callers:
            callers.start_soon(_send_poisons, fleet, poison, random)
            for arrival in fleet_traffic(
                random, SERVERS, _LOAD, _TRACE_SECONDS
            ):
                await trio.sleep(max(arrival.at - trio.current_time(), 0))
                callers.start_soon(
                    fleet.send,
                    partial(make_call, arrival),
                    arrival.number % SERVERS,
                    _MAX_INNOCENT_TRIES,
                    innocent,
                )
        background.cancel_scope.cancel()
    return {
        'poisons': poison.requests,
        'servers_lost': fleet.crashes,
        'innocent': innocent.requests,
        'innocent_answered': innocent.answered,
        'innocent_quarantined': innocent.refusals[FailureKind.QUARANTINED],
        'poison_quarantined': poison.refusals[FailureKind.QUARANTINED],
    }


async def _send_poisons(fleet: Fleet, poison: Repeats, random: Random) -> None:
    """Send all poison requests; their callers repeat them many times."""
    await trio.sleep(_FIRST_POISON_SECONDS)
    async with trio.open_nursery() as callers:
        for number in range(POISONS):
            callers.start_soon(
                fleet.send,
                partial(_make_poison_call, number),
                random.randrange(SERVERS),
                _MAX_POISON_TRIES,
                poison,
            )
            await trio.sleep(_POISON_INTERVAL_SECONDS)


def _make_poison_call(number: int) -> Call:
    """Return a poison request; half are lookups, which the product retries."""
    rank = Rank.LOOKUP if number % 2 else Rank.MONEY
    arrival = Arrival(
        number=_FIRST_POISON_NUMBER + number,
        at=0,
        rank=rank,
        work=_POISON_WORK_SECONDS,
        caller='poisoner',
    )
    return make_call(arrival, extra=((POISON_HEADER, b'1'),))


def main(seed: int) -> int:
    """Run the benchmark and print the figures as JSON.

    Args:
        seed: Seed of the arrivals.

    Returns:
        0 if the targets are met, otherwise 1.
    """
    product = figures(seed, is_naive=False)
    naive = figures(seed, is_naive=True)
    most_lost = POISONS * MAX_LOST_PER_POISON
    is_ok = all(
        (
            product['servers_lost'] <= most_lost,
            product['innocent_quarantined'] == 0,
            product['poison_quarantined'] > 0,
        ),
    )
    report = {
        'bench': 'poison',
        'seed': seed,
        'naive': naive,
        'product': product,
        'target': {'servers_lost': most_lost, 'innocent_quarantined': 0},
        'ok': is_ok,
    }
    sys.stdout.write(f'{json.dumps(report)}\n')
    return 0 if is_ok else 1
