"""Turns of callers at the overloaded owner of a key, over all processes."""

from collections import Counter

import pytest

from tests.gateway.choice.admitting_fleet import (
    DEADLINE,
    TICK,
    AdmittingFleet,
    make_request,
)

_KEPT = 0.97


class TestShare:
    @pytest.mark.parametrize('share', (0.05, 0.15, 0.4, 0.7))
    def test_admitted(self, share: float) -> None:
        """All processes together admit the told share, returns included.

        Returns are admitted besides those whose turn it is. A window of the
        share's own width would admit up to twice as much.
        """
        fleet = AdmittingFleet(share)
        fleet.run(5)
        fleet.reset()
        fleet.run(60, rate=500)
        assert fleet.admitted_share() == pytest.approx(share, rel=0.05)

    def test_changing_share(self) -> None:
        """The turns that callers were told hold though the share changes."""
        fleet = AdmittingFleet(0.15, noise=0.1)
        fleet.run(5)
        fleet.reset()
        fleet.run(60)
        assert fleet.kept[True] > 300
        assert fleet.kept[True] >= fleet.kept.total() * _KEPT
        assert fleet.admitted_share() == pytest.approx(0.15, rel=0.05)


class TestReturns:
    @pytest.mark.parametrize('share', (0.05, 0.3))
    def test_kept_turn(self, share: float) -> None:
        """A refused caller that returns as told is admitted by any process.

        Clocks of the processes differ, and so do the ways of the receipts.
        """
        fleet = AdmittingFleet(share)
        fleet.run(30)
        assert fleet.kept[True] > 100
        assert fleet.kept[True] >= fleet.kept.total() * _KEPT

    def test_wave(self) -> None:
        """Callers that were refused at once don't all return at once."""
        fleet = AdmittingFleet(0.1)
        fleet.tell()
        told = Counter()
        for _ in range(3000):
            refusal = fleet.ask(make_request(str(fleet.random.random())))
            if refusal is not None:
                told[refusal.retry_after // TICK] += 1
        assert max(told.values()) < 0.05 * told.total()

    def test_steady(self) -> None:
        """Turns of returning callers don't come in bursts."""
        fleet = AdmittingFleet(0.2)
        fleet.run(5)
        fleet.reset()
        fleet.run(60)
        steps = [
            sum(fleet.admitted_by_tick[first : first + 10])
            for first in range(0, len(fleet.admitted_by_tick), 10)
        ]
        assert max(steps) < 2 * sum(steps) / len(steps)

    def test_every_caller(self) -> None:
        """Each caller has its turn, as often as the others in the long run.

        A decision by chance refuses some callers many times in a row.
        """
        fleet = AdmittingFleet(0.2)
        callers = [make_request(str(number)) for number in range(60)]
        longest: Counter[str] = Counter()
        refused: Counter[str] = Counter()
        for _ in range(400):
            fleet.tell()
            fleet.now += 0.25
            for request in callers:
                if fleet.ask(request) is None:
                    refused[request.caller] = 0
                else:
                    refused[request.caller] += 1
                longest[request.caller] = max(
                    longest[request.caller], refused[request.caller]
                )
        # A window of a tenth comes by within 26 steps.
        assert max(longest.values()) <= 30


class TestRanks:
    def test_guaranteed(self) -> None:
        """Urgent requests have more turns; the least urgent have some.

        Together the ranks are still admitted at the told share.
        """
        fleet = AdmittingFleet(0.3, ranks=(0, 1, 2))
        fleet.run(10)
        fleet.reset()
        fleet.run(100)
        shares = [fleet.admitted_share(rank) for rank in (0, 1, 2)]
        assert shares[0] > 1.5 * shares[1]
        assert shares[1] > 1.5 * shares[2]
        assert shares[2] > 0.3 * fleet.share
        assert fleet.admitted_share() == pytest.approx(0.3, rel=0.05)


class TestFailures:
    def test_coordinator_gone(self) -> None:
        """Without receipts all requests are admitted after a second."""
        fleet = AdmittingFleet(0.1)
        fleet.tell()
        fleet.now += 0.9
        refused = [fleet.ask(make_request(str(each))) for each in range(100)]
        assert sum(1 for refusal in refused if refusal) > 50
        fleet.now += 0.2
        refused = [fleet.ask(make_request(str(each))) for each in range(100)]
        assert not any(refused)

    def test_next_coordinator(self) -> None:
        """Processes follow the clock of the next coordinator at once."""
        fleet = AdmittingFleet(0.15)
        fleet.run(5)
        fleet.coordinator_offset = 3.3
        fleet.run(DEADLINE)
        fleet.reset()
        fleet.run(30)
        assert fleet.kept[True] >= fleet.kept.total() * _KEPT

    def test_without_phase(self) -> None:
        """A coordinator that tells no phase has its share admitted."""
        fleet = AdmittingFleet(0.3)
        shares = {fleet.server.incarnation: 0.3}
        for process in fleet.processes:
            process.replace(shares)
        for number in range(2000):
            fleet.ask(make_request(str(number)))
        assert fleet.admitted_share() == pytest.approx(0.3, rel=0.15)
