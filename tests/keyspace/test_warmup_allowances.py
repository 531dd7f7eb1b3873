"""Division of what cold servers may get, on the side of the coordinator."""

from dataclasses import replace

import pytest

from carobwalk.directory import ServerDirectory
from carobwalk.events import NullEventLog
from carobwalk.keyspace import WarmupAllowances, WarmupSource
from carobwalk.keyspace._demand_rate import DemandRate
from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._load_report import LoadReport, ServiceLoad
from carobwalk.shares import WarmupBounds
from tests.keyspace.simulated_fleet import SERVICE, make_server
from tests.keyspace.test_planner import divide

RATE = 3.7
SERVERS = 20


class _Clock:
    def __init__(self) -> None:
        self.seconds: float = 100

    def now(self) -> float:
        return self.seconds


class _Term:
    """Coordinator of 20 servers, of which the first is cold."""

    def __init__(self, rate: float | None = RATE) -> None:
        self.clock = _Clock()
        self.directory = ServerDirectory(self.clock, NullEventLog())
        for number in range(SERVERS):
            left = 0 if number else 60
            server = replace(make_server(number), warmup_left=left)
            self.directory.put(server, 1)
        self.cold = self.directory.of_service(SERVICE)[0]
        self.warmups = WarmupAllowances(
            self.clock,
            WarmupSource(
                directory=self.directory,
                rate_of=lambda service: rate,
                bounds=WarmupBounds(1.5, 8),
            ),
        )
        self.is_valid = True
        self.warmups.start_term(lambda: self.is_valid)

    def run(self, seconds: float, per_second: int, keyed: int = 0) -> None:
        """Report demand 40 times a second, as many processes do."""
        for _ in range(int(seconds * 40)):
            self.clock.seconds += 1 / 40
            counts = ((7, keyed // 40),) if keyed else ()
            report = LoadReport(
                (ServiceLoad(SERVICE, counts, ()),),
                demands=((SERVICE, (per_second + keyed) // 40),),
            )
            self.warmups.record(report)

    def shares(self) -> list[float]:
        return [share for _, _, share in self.warmups.rows()]


class TestWarmupBounds:
    def test_default(self) -> None:
        """With the usual bounds, 0.9 of the stated rate is used."""
        allowance = WarmupBounds(1.5, 8).allowance(RATE)
        assert allowance == pytest.approx(0.9 * RATE)

    @pytest.mark.parametrize(('overshoot', 'slack'), [(1, 0), (1.2, 2), (0, 0)])
    def test_tight(self, overshoot: float, slack: float) -> None:
        """Tighter bounds reduce the mean, which chance exceeds."""
        bound = RATE * overshoot + slack
        allowance = WarmupBounds(overshoot, slack).allowance(RATE)
        assert allowance + 5 * allowance**0.5 == pytest.approx(bound)
        assert allowance < 0.9 * RATE


class TestTerm:
    def test_first_shares(self) -> None:
        """A new coordinator gives no shares before it knows the demand."""
        term = _Term()
        term.run(1.5, 200)
        assert not term.shares()
        term.run(1, 200)
        assert term.shares() == pytest.approx([0.9 * RATE / 200], rel=0.1)

    def test_lease_in_doubt(self) -> None:
        """A process that may not be the only coordinator gives no shares."""
        term = _Term()
        term.run(4, 200)
        assert term.shares()
        term.is_valid = False
        assert not term.shares()

    def test_earlier_demand(self) -> None:
        """Demand that was reported in an earlier term doesn't count."""
        term = _Term()
        term.run(4, 200)
        term.warmups.start_term(lambda: True)
        assert not term.shares()
        term.run(4, 80)
        assert term.shares() == pytest.approx([0.9 * RATE / 80], rel=0.1)

    def test_without_limit(self) -> None:
        """Without a stated rate nothing is told and planned capacity stays."""
        term = _Term(rate=None)
        term.run(4, 200)
        assert not term.shares()
        assert term.warmups.capacity(term.cold, 40) == 40
        assert not term.warmups.is_soon_warm(term.cold.incarnation)

    def test_warm(self) -> None:
        """A server that is warm again has no share."""
        term = _Term()
        term.run(59, 200)
        assert term.shares()
        term.run(2, 200)
        assert not term.shares()


class TestKeys:
    def _plan(self, term: _Term, rate: float, owned: bool) -> None:
        incarnations = [
            server.incarnation for server in term.directory.all_servers()
        ]
        key_map = divide(sorted(incarnations))
        key = key_map.ranges[0].first if owned else key_map.ranges[-1].first
        loads = []
        for _ in range(2):
            load = KeyLoad(term.clock.now() - 9, 1)
            load.add([(key, int(rate * 1.5))])
            load.refresh(term.clock.now() - 9)
            load._updated_at = term.clock.now()
            loads.append(load)
        term.warmups.record_keys(SERVICE, key_map, (loads[0], loads[1]))

    def test_demand_for_keys(self) -> None:
        """An owner's share is by the demand for its keys, and others' left."""
        term = _Term()
        term.run(4, 0, keyed=80)
        self._plan(term, 80, owned=True)
        owned = term.shares()
        assert owned == pytest.approx([0.9 * RATE / 80], rel=0.1)
        term.run(1, 0, keyed=80)
        self._plan(term, 80, owned=False)
        assert term.shares() == [1]

    def test_no_plan(self) -> None:
        """Without a recent plan it isn't known which keys an owner has."""
        term = _Term()
        term.run(4, 0, keyed=80)
        self._plan(term, 80, owned=True)
        assert term.shares()
        term.run(1, 0, keyed=80)
        assert not term.shares()

    def test_capacity(self) -> None:
        """Keys are planned for 0.8 of the rate, unless it ends soon."""
        term = _Term()
        assert term.warmups.capacity(term.cold, 40) == pytest.approx(0.8 * RATE)
        assert term.warmups.capacity(term.cold, 2) == 2
        term.clock.seconds += 59.5
        assert term.warmups.capacity(term.cold, 40) == 40
        assert term.warmups.is_soon_warm(term.cold.incarnation)


class TestDemandRate:
    def test_rise(self) -> None:
        """A doubled demand shows within half a second."""
        rate = DemandRate(0)
        for step in range(36):
            rate.add(step / 8, 32 if step < 32 else 64)
        assert rate.per_second(4.49) > 1.6 * 256

    def test_fall(self) -> None:
        """A smaller demand shows after seconds: too low a rate does harm."""
        rate = DemandRate(0)
        for step in range(48):
            rate.add(step / 8, 64 if step < 32 else 32)
        assert 256 < rate.per_second(5.99) < 512
