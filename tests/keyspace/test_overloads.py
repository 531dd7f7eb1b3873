"""Owners of keys that are asked for far more than they can do.

Pattern: one key draws much of the traffic of hundreds of processes. Each of
them keeps few requests in flight, all together far more than the owner can
queue, and some servers never answer what they can't queue.
"""

import random

import pytest
import trio
from trio.testing import MockClock

from carobwalk.gateway.choice._admission import Admission
from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_range import MAX_KEY
from carobwalk.keyspace._overloads import (
    DEMAND_WINDOW_SECONDS,
    admitted_shares,
)
from tests.gateway.test_choosers import make_request
from tests.keyspace.simulated_fleet import make_server
from tests.keyspace.test_planner import divide, make_incarnations

_SERVERS = 222
_PROCESSES = 195
_CAPACITY = 4 / 0.61
_RATE = 853
_HOT_KEY = 1898
_ROUND_SECONDS = 0.25


class _Demand:
    """Requests of all processes, drawn by a seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.incarnations = make_incarnations(_SERVERS)
        self.capacities = dict.fromkeys(self.incarnations, _CAPACITY)
        self.key_map = divide(self.incarnations)
        self.load = KeyLoad(0, DEMAND_WINDOW_SECONDS)
        self.now: float = 0

    def run_round(self, hot_share: float):
        """Count requests; return the admitted shares."""
        self.now += _ROUND_SECONDS
        for _ in range(int(_RATE * _ROUND_SECONDS)):
            key = self.random.randrange(MAX_KEY + 1)
            if self.random.random() < hot_share:
                key = _HOT_KEY
            self.load.add([(key, 1)])
        self.load.refresh(self.now)
        return admitted_shares(self.key_map, self.load, self.capacities)


@pytest.mark.parametrize('seed', range(3))
class TestAdmittedShares:
    def test_hot_key(self, seed: int) -> None:
        """Within a second the owner is asked for about what it can do."""
        demand = _Demand(seed)
        for _ in range(8):
            demand.run_round(0)
        for _ in range(4):
            shares = demand.run_round(0.3)
        owner = demand.key_map.find(_HOT_KEY).owner
        assert set(shares) == {owner}
        admitted = shares[owner] * 0.3 * _RATE
        assert admitted < 2 * _CAPACITY
        for _ in range(8):
            shares = demand.run_round(0.3)
        admitted = shares[owner] * 0.3 * _RATE
        assert admitted == pytest.approx(_CAPACITY * 1.15, rel=0.3)

    def test_even_load(self, seed: int) -> None:
        """Without a hot key next to nothing is refused."""
        demand = _Demand(seed)
        refused: float = 0
        for _ in range(100):
            shares = demand.run_round(0).values()
            refused += sum(1 - share for share in shares)
        assert refused * 1000 < 100 * _SERVERS

    def test_end(self, seed: int) -> None:
        """All requests are admitted again seconds after the end."""
        demand = _Demand(seed)
        for _ in range(12):
            demand.run_round(0.3)
        for _ in range(16):
            shares = demand.run_round(0)
        owner = demand.key_map.find(_HOT_KEY).owner
        assert owner not in shares


class TestAdmission:
    def test_share(self, virtual_clock: MockClock) -> None:
        """The told share is admitted, of overloaded servers only."""

        async def main() -> None:
            random.seed(1)
            hot, other = make_server(0), make_server(1)
            admission = Admission()
            admission.replace({hot.incarnation: 0.1})
            request = make_request()
            answers = [admission.refusal(hot, request) for _ in range(1000)]
            assert answers.count(None) in range(50, 150)
            answers = [admission.refusal(other, request) for _ in range(100)]
            assert not any(answers)

        trio.run(main, clock=virtual_clock)

    def test_not_told_lately(self, virtual_clock: MockClock) -> None:
        """Without news from a coordinator all requests are admitted."""

        async def main() -> None:
            hot = make_server(0)
            admission = Admission()
            admission.replace({hot.incarnation: 0})
            assert admission.refusal(hot, make_request())
            await trio.sleep(1.5)
            assert not admission.refusal(hot, make_request())

        trio.run(main, clock=virtual_clock)
