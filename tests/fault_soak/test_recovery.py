"""Tests of the check that all is served again after the last fault."""

from itertools import pairwise

import pytest

from soak._recovery import MAX_IN_FLIGHT
from tests.fault_soak.recovery_fleet import (
    KEY_PATH,
    PATHS,
    RECOVERY,
    Fleet,
    Router,
)


class TestServed:
    def test_all_is_served(self, recover) -> None:
        """A fleet that serves everything has recovered within a second."""
        fleet = Fleet()
        assert not recover(fleet)
        assert fleet.recovery < 1

    def test_slow_answers_do_not_add_up(self, recover) -> None:
        """Answers of 1.5 s each do not use up the time one after the other."""
        fleet = Fleet(seconds=1.5)
        assert not recover(fleet)
        assert fleet.recovery < 1.5 * len(PATHS) / MAX_IN_FLIGHT + 1

    def test_served_just_in_time(self, recover) -> None:
        """What is served shortly before the bound is in time."""
        fleet = Fleet(lambda router, path, now: now >= 14)
        assert not recover(fleet)
        assert fleet.recovery == pytest.approx(14.2, abs=0.3)

    def test_brief_loss_after_the_first_answer(self, recover) -> None:
        """A recovery lasts until what was lost again is served."""
        fleet = Fleet(lambda router, path, now: now < 2 or now > 6)
        assert not recover(fleet)
        assert fleet.recovery == pytest.approx(6.2, abs=0.3)

    def test_late_answer_is_not_asked_for_twice(self, recover) -> None:
        """What is first served after the time of the repetition suffices."""
        fleet = Fleet(lambda router, path, now: now >= 8, seconds=0.5)
        assert not recover(fleet)
        served = [request.path for at, _, request in fleet.asked if at >= 8]
        assert sorted(served) == sorted(PATHS * len(fleet.routers))


class TestNotServed:
    @pytest.mark.parametrize('router', ['router-0', 'router-1'])
    @pytest.mark.parametrize('path', PATHS)
    def test_each_request_of_each_router(
        self, recover, router: str, path: str
    ) -> None:
        """A single request that one router does not serve is reported."""
        fleet = Fleet(lambda *asked: asked[:2] != (router, path))
        assert recover(fleet) == [
            'not served again: recovery in 15.0 s: '
            f'1 requests: {router} {path} 503; freezes of the soak: none'
        ]
        assert fleet.recovery == RECOVERY.timeout

    def test_served_after_the_bound(self, recover) -> None:
        """An answer that is only served after 15 s is too late."""
        fleet = Fleet(lambda router, path, now: now > 15 or path != KEY_PATH)
        assert len(recover(fleet)) == 1

    def test_answer_after_the_bound(self, recover) -> None:
        """A request that is sent in time but answered after 15 s is late."""
        fleet = Fleet(lambda router, path, now: now > 14, seconds=1.5)
        assert len(recover(fleet)) == 1

    @pytest.mark.parametrize('lost_after', [0.2, 2, 3.9])
    def test_lost_after_its_first_answer(
        self, recover, lost_after: float
    ) -> None:
        """A key that is served at first and lost a little later is found."""
        fleet = Fleet(
            lambda router, path, now: now < lost_after or path != '/claims/1'
        )
        assert len(recover(fleet)) == 1

    def test_router_that_is_not_ready(self, recover) -> None:
        """A router that does not become ready in time is reported."""
        fleet = Fleet(routers=[Router('router-0'), Router('router-1', 16)])
        assert recover(fleet) == [
            'not served again: recovery in 15.0 s: '
            '1 requests: router-1 not ready; freezes of the soak: none'
        ]


class TestRequests:
    def test_ids_are_unique(self, recover) -> None:
        """Each request has an id of its own, as none may run twice."""
        fleet = Fleet(lambda router, path, now: now > 3)
        recover(fleet)
        ids = [request.id for _, _, request in fleet.asked]
        assert len(ids) == len(set(ids))

    def test_are_not_sent_at_once(self, recover) -> None:
        """Few requests of a router are in flight if answers are fast."""
        fleet = Fleet()
        recover(fleet)
        assert fleet.most_in_flight == 1
        times = [at for at, router, _ in fleet.asked if router == 'router-0']
        assert len(times) == 2 * len(PATHS)
        assert all(
            later - earlier > fleet.seconds
            for earlier, later in pairwise(times)
        )

    def test_are_limited(self, recover) -> None:
        """A router never has more in flight than it sends to one server."""
        fleet = Fleet(seconds=1, freezes=((3.5, 2),))
        assert not recover(fleet)
        assert fleet.most_in_flight == MAX_IN_FLIGHT
