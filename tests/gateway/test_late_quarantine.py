"""Requests that are quarantined while they wait for a server."""

from collections.abc import Callable

import pytest
import trio

from carobwalk.gateway import CallerRequest, CrashTracker
from carobwalk.model import ServerId
from tests.gateway.conftest import Scenario
from tests.gateway.harness import GatewayHarness


class _LateQuarantine(CrashTracker):
    """Tracker that learns later that a request crashes servers."""

    def __init__(self) -> None:
        super().__init__()
        self.is_known = False

    def is_quarantined(self, request: CallerRequest) -> bool:
        """Return whether it is known by now."""
        return self.is_known


@pytest.fixture
def tracker(monkeypatch: pytest.MonkeyPatch) -> _LateQuarantine:
    """Return the state of the quarantine in the scenario's gateway."""
    late = _LateQuarantine()
    monkeypatch.setattr(CrashTracker, 'is_quarantined', late.is_quarantined)
    return late


class TestWaitingForOwner:
    def test_not_sent(
        self,
        run_scenario: Callable[[Scenario], None],
        tracker: _LateQuarantine,
    ) -> None:
        """A request that is quarantined while it waits is not sent."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('keyed', 's1')
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_quarantine_then_own, harness, tracker)
                answer = await harness.send_request(
                    'GET', '/keyed/a', shard_key='5'
                )
            assert not backend.requests
            assert answer.status == 503

        run_scenario(scenario)


async def _quarantine_then_own(
    harness: GatewayHarness, tracker: _LateQuarantine
) -> None:
    await trio.sleep(0.05)
    tracker.is_known = True
    harness.owners.server = harness.directory.get(ServerId('s1'))
