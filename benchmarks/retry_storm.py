"""Sends per arrival while all servers of a service fail."""

import json
import sys
from collections.abc import Callable, Mapping
from functools import partial
from random import Random
from types import MappingProxyType

import trio
from trio.testing import MockClock

from benchmarks._dispatch_fleet import fleet_traffic
from benchmarks._dispatch_naive import NaiveForwarder
from benchmarks._dispatch_run import (
    Playback,
    Record,
    goodput,
    make_placement,
    make_pool,
    round_figures,
)
from benchmarks._dispatch_server import FakeServer, Fault
from benchmarks._dispatch_traffic import Arrival
from carobwalk.model import Forwarder, Placement

SENDS_TARGET = 1.1
RECOVERY_SECONDS = 2

_SERVERS = 4
_LOAD = 0.6
_FAULT_SPAN_SECONDS = (10.0, 25.0)
_END_SECONDS = 40.0
_BEFORE_SPAN_SECONDS = (2.0, _FAULT_SPAN_SECONDS[0])
_AFTER_SPAN_SECONDS = (
    _FAULT_SPAN_SECONDS[1] + RECOVERY_SECONDS,
    _END_SECONDS - 2,
)
_MIN_GOODPUT_AFTER = 0.9
_WARM_UP_SECONDS = 60


def _crash(server: FakeServer) -> None:
    server.crash()


def _freeze(server: FakeServer) -> None:
    server.fault = Fault.FROZEN


def _shed(server: FakeServer) -> None:
    server.shed = 1


def _reset_early(server: FakeServer) -> None:
    server.early_loss = 1


def _reset_late(server: FakeServer) -> None:
    server.late_loss = 1


_FAULTS_BY_NAME: Mapping[str, Callable[[FakeServer], None]] = MappingProxyType(
    {
        'down': _crash,
        'frozen': _freeze,
        'shedding': _shed,
        'reset-before-run': _reset_early,
        'reset-after-run': _reset_late,
    },
)


class Outage:
    """Period in which all servers fail in the same way.

    Args:
        seed: Seed of the arrivals.
        is_naive: Whether entries send directly to the servers, as the baseline.
    """

    def __init__(self, seed: int, *, is_naive: bool) -> None:
        self._is_naive = is_naive
        self._sends_in_fault = 0
        random = Random(seed)
        self._arrivals = fleet_traffic(random, _SERVERS, _LOAD, _END_SECONDS)
        self._servers = [
            FakeServer(name=f'server-{number}', started_at=-_END_SECONDS)
            for number in range(_SERVERS)
        ]

    async def run(
        self, inject_fault: Callable[[FakeServer], None]
    ) -> dict[str, float]:
        """Send the arrivals during the fault and return the figures."""
        playback = Playback(self._make_forwarder(), self._owner_placement)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._inject_faults, inject_fault)
            records = await playback.run(self._arrivals)
        attempts = sum(server.attempts for server in self._servers)
        return round_figures(
            {
                'sends_per_arrival': attempts / len(records),
                'sends_per_arrival_in_fault': self._sends_in_fault
                / _count_in_fault(records),
                'goodput_after_of_before': goodput(
                    records, None, _AFTER_SPAN_SECONDS
                )
                / goodput(records, None, _BEFORE_SPAN_SECONDS),
            },
        )

    async def _inject_faults(
        self, inject_fault: Callable[[FakeServer], None]
    ) -> None:
        await trio.sleep_until(_FAULT_SPAN_SECONDS[0])
        before = sum(server.attempts for server in self._servers)
        for healthy in self._servers:
            inject_fault(healthy)
        await trio.sleep_until(_FAULT_SPAN_SECONDS[1])
        after = sum(server.attempts for server in self._servers)
        self._sends_in_fault = after - before
        for failed in self._servers:
            _recover(failed)

    def _owner_placement(self, arrival: Arrival) -> Placement:
        return make_placement(self._servers[arrival.number % _SERVERS])

    def _make_forwarder(self) -> Forwarder:
        servers_by_name = {server.name: server for server in self._servers}
        if self._is_naive:
            return NaiveForwarder(
                lambda placement: servers_by_name[placement.server.name],
            )
        return make_pool(self._servers)


def _recover(server: FakeServer) -> None:
    server.shed = 0
    server.early_loss = 0
    server.late_loss = 0
    if server.fault is not Fault.NONE:
        server.restart()
    # The servers count as warm, since the benchmark measures retries and
    # not the cold start.
    server.started_at = -_WARM_UP_SECONDS


def _count_in_fault(records: list[Record]) -> int:
    start, end = _FAULT_SPAN_SECONDS
    return sum(start <= record.arrival.at < end for record in records)


def figures(seed: int, *, is_naive: bool) -> dict[str, dict[str, float]]:
    """Return the figures of each fault."""
    return {
        name: trio.run(
            partial(Outage(seed, is_naive=is_naive).run, inject_fault),
            clock=MockClock(autojump_threshold=0),
        )
        for name, inject_fault in _FAULTS_BY_NAME.items()
    }


def main(seed: int) -> int:
    """Run all outages and print the figures as JSON.

    Args:
        seed: Seed of the arrivals.

    Returns:
        0 if the targets are met, otherwise 1.
    """
    product = figures(seed, is_naive=False)
    naive = figures(seed, is_naive=True)
    is_ok = all(
        each['sends_per_arrival'] <= SENDS_TARGET
        and each['sends_per_arrival_in_fault'] <= SENDS_TARGET
        and each['goodput_after_of_before'] >= _MIN_GOODPUT_AFTER
        for each in product.values()
    )
    report = {
        'bench': 'retry_storm',
        'seed': seed,
        'naive': naive,
        'product': product,
        'target': {
            'sends_per_arrival': SENDS_TARGET,
            'recovery_s': RECOVERY_SECONDS,
            'goodput_after_of_before': _MIN_GOODPUT_AFTER,
        },
        'ok': is_ok,
    }
    sys.stdout.write(f'{json.dumps(report)}\n')
    return 0 if is_ok else 1
