"""Tests of the time that the recovery may take, with freezes of the soak."""

import re
import time
from pathlib import Path

import pytest
import trio

from soak._event_file import EventFile
from soak._freeze_watch import FREEZE_SECONDS, FreezeWatch
from soak._recovery_bound import RecoveryBound
from tests.fault_soak.recovery_fleet import (
    KEY_PATH,
    RECOVERY,
    Fleet,
    served_from,
)


class TestFreezes:
    @pytest.mark.parametrize(
        ('began_at', 'seconds'), [(0.5, 1), (10, 1.3), (14.9, 5), (1, 14.5)]
    )
    def test_time_counts_from_the_end(
        self, recover, began_at: float, seconds: float
    ) -> None:
        """What is served within 15 s of the end of a freeze is in time."""
        ends_at = began_at + seconds + RECOVERY.timeout
        for served_at, late in ((ends_at - 1, False), (ends_at, True)):
            freezes = ((began_at, seconds),)
            fleet = Fleet(served_from(served_at), freezes=freezes)
            assert bool(recover(fleet)) is late

    def test_answer_at_the_end_of_a_freeze(self, recover) -> None:
        """An answer that waited for the end of a freeze is in time."""
        fleet = Fleet(served_from(14), seconds=0.5, freezes=((14.6, 2),))
        assert not recover(fleet)
        asked = [at for at, _, one in fleet.asked if one.path == KEY_PATH]
        assert RECOVERY.timeout - 1 < asked[-1] < fleet.freezes[0][0]
        assert fleet.recovery == pytest.approx(16.6, abs=0.1)

    def test_report_names_the_freezes(self, recover) -> None:
        """The report tells the time in all and each freeze."""
        fleet = Fleet(served_from(99), freezes=((2, 1), (10, 1.3)))
        report = '; '.join(recover(fleet))
        assert 'recovery in 26.3 s' in report
        # The begin is known to 0.02 s.
        freezes = r'(1.00|0.9\d) s until 3.000, (1.30|1.2\d) s until 11.300$'
        assert re.search(f'freezes of the soak: {freezes}', report)
        assert fleet.recovery == pytest.approx(26.3)

    @pytest.mark.parametrize('began_at', [2, 14.9])
    def test_short_delay_does_not_count(self, recover, began_at: float) -> None:
        """A delay below the timeout of an order leaves the bound at 15 s."""
        delay = FREEZE_SECONDS - 0.05
        freezes = ((began_at, delay),)
        fleet = Fleet(served_from(15.1), freezes=freezes)
        assert 'recovery in 15.0 s' in recover(fleet)[0]
        assert not fleet.freeze_watch.freezes

    def test_freeze_after_the_bound_does_not_count(self, recover) -> None:
        """A freeze cannot begin too late and still move the bound."""
        freezes = ((14, 1.2), (30.3, 2))
        fleet = Fleet(served_from(31), freezes=freezes)
        assert 'recovery in 30.2 s' in recover(fleet)[0]

    def test_freezes_in_series_end(self, recover) -> None:
        """Only the first five freezes move the bound."""
        freezes = tuple((float(second), 0.5) for second in range(2, 40, 2))
        fleet = Fleet(served_from(26), freezes=freezes)
        assert 'recovery in 25.5 s' in recover(fleet)[0]

    def test_long_freezes_end(self, recover) -> None:
        """The bound is never moved by more than a minute in all."""
        freezes = tuple((float(second), 14) for second in range(2, 90, 15))
        fleet = Fleet(served_from(61), freezes=freezes)
        assert 'recovery in 60.0 s' in recover(fleet)[0]
        assert fleet.recovery == 60

    def test_single_freeze_longer_than_the_limit(self, recover) -> None:
        """What is served only after a very long freeze is too late."""
        fleet = Fleet(served_from(50), freezes=((3, 70),))
        assert 'recovery in 60.0 s' in recover(fleet)[0]

    def test_freezes_alone_are_no_violation(self, recover) -> None:
        """A fleet that serves everything between freezes has recovered."""
        freezes = tuple((float(second), 0.5) for second in range(1, 9, 2))
        fleet = Fleet(freezes=freezes)
        assert not recover(fleet)
        assert fleet.recovery < 2

    def test_frozen_event_loop(self, tmp_path: Path) -> None:
        """A real freeze that spans the end of the time moves it."""
        watch = FreezeWatch(EventFile(tmp_path / 'soak.log'))

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run)
                bound = RecoveryBound(0.3, watch)
                await trio.sleep(0.2)
                time.sleep(FREEZE_SECONDS + 0.2)
                thawed_at = trio.current_time()
                await bound.wait()
                assert trio.current_time() >= thawed_at + 0.3
                nursery.cancel_scope.cancel()

        trio.run(body)
        assert watch.freezes

    def test_delays_are_logged(self, recover, tmp_path: Path) -> None:
        """Freezes and shorter delays are told apart in the log."""
        fleet = Fleet(freezes=((1, 0.35), (2, 0.5), (3, 0.05)))
        recover(fleet)
        lines = (tmp_path / 'soak.log').read_text().splitlines()
        events = [line.split(maxsplit=1)[1].split('.')[0] for line in lines]
        assert [event.split()[0] for event in events] == [
            'event=soak-delayed',
            'event=soak-freeze',
        ]
