"""Refused connections before a report of earlier answers of a server."""

import msgspec
import pytest
import trio
from trio.testing import MockClock

from carobwalk.keyspace import KeyTimes
from carobwalk.keyspace._load_report import (
    LoadReport,
    ServerAnswers,
    ServiceLoad,
)
from carobwalk.model import ProcessId, ServerId
from tests.keyspace.simulated_fleet import SERVICE, Router, SimulatedFleet

_POLL_SECONDS = 0.005
_GIVE_UP_SECONDS = 20
# Time to plan a move, to write it and to send the grant.
_MOVE_SECONDS = 0.5


async def _report_answer(router: Router, server: ServerId) -> None:
    row = ServerAnswers(server, 1, 1, 0, 0.1)
    report = LoadReport((ServiceLoad(SERVICE, (), (row,)),))
    await router.collector.answer(
        ProcessId('other'), msgspec.msgpack.encode(report)
    )


async def _crash_owner(fleet: SimulatedFleet, router: Router) -> None:
    """Crash the owner of key 0, and wait until it has refused an order."""
    owner = fleet.book.owner(0)
    assert owner is not None
    failures = len(router.log.named('OrderFailed'))
    fleet.book.holders_by_id[owner].refuses_connections = True
    with trio.fail_after(3):
        while len(router.log.named('OrderFailed')) == failures:
            await trio.sleep(_POLL_SECONDS)


async def _wait_until_moved(fleet: SimulatedFleet, owner: ServerId) -> None:
    with trio.move_on_after(_GIVE_UP_SECONDS):
        while fleet.book.owner(0) in {None, owner}:
            await trio.sleep(_POLL_SECONDS)


class TestReportAfterRefusal:
    @pytest.mark.parametrize('is_reported', [False, True])
    def test_keys_move(
        self, virtual_clock: MockClock, *, is_reported: bool
    ) -> None:
        """A report of earlier answers doesn't hide a crash.

        The keys move when the owner's hold is over, as without the report.
        """

        async def body() -> float:
            fleet = SimulatedFleet(4)
            async with trio.open_nursery() as nursery:
                fleet.start(nursery)
                router = fleet.add_router('a')
                await fleet.wait_until_owned()
                await trio.sleep(3)
                owner = fleet.book.owner(0)
                assert owner is not None
                await _crash_owner(fleet, router)
                refused_at = trio.current_time()
                await trio.sleep(0.05)
                if is_reported:
                    await _report_answer(router, owner)
                await _wait_until_moved(fleet, owner)
                seconds = trio.current_time() - refused_at
                nursery.cancel_scope.cancel()
            return seconds

        seconds = trio.run(body, clock=virtual_clock)
        assert seconds < KeyTimes().longest_usual_hold + _MOVE_SECONDS
