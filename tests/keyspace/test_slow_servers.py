"""Estimates of service times, and log events of servers that slow down."""

import pytest

from carobwalk.keyspace._service_seconds import ServiceSeconds
from carobwalk.keyspace._slow_servers import (
    ServerRecovered,
    ServerSlowed,
    SlowServers,
)
from carobwalk.model import ServiceName
from tests.keyspace.simulated_fleet import make_server
from tests.recording_log import RecordingLog

SERVERS = tuple(make_server(number).incarnation for number in range(5))
SLOW = SERVERS[0]
INTERVAL = 0.25


def _advance(known: ServiceSeconds, seconds: float, factor: int = 1) -> None:
    """Let each server answer 2 requests of 0.1 s an interval."""
    for _ in range(int(seconds / INTERVAL)):
        busy = dict.fromkeys(SERVERS, 0.8) | {SLOW: 0.8 * factor}
        known.advance(INTERVAL, busy, dict.fromkeys(SERVERS, 2))


class TestServiceSeconds:
    def test_slowed_server(self) -> None:
        """A slowed server shows within 2 s, a single noisy period doesn't."""
        known = ServiceSeconds()
        _advance(known, 10)
        assert known.seconds(SLOW) == pytest.approx(0.1, rel=0.01)
        _advance(known, 0.5, factor=3)
        assert known.seconds(SLOW) * 100 < 14
        _advance(known, 1.5, factor=3)
        assert known.seconds(SLOW) * 100 > 17

    def test_queue(self) -> None:
        """A queue doesn't add to the service time.

        The coordinator counts at most the slots as busy.
        """
        known = ServiceSeconds()
        for _ in range(40):
            busy = dict.fromkeys(SERVERS, 4)
            known.advance(INTERVAL, busy, dict.fromkeys(SERVERS, 10))
        assert known.seconds(SLOW) == pytest.approx(0.1, rel=0.01)

    def test_without_answers(self) -> None:
        """A server without requests drifts back to the median."""
        known = ServiceSeconds()
        _advance(known, 10, factor=4)
        slow = known.seconds(SLOW)
        for _ in range(60):
            busy = dict.fromkeys(SERVERS, 0.8) | {SLOW: 0}
            answers = dict.fromkeys(SERVERS, 2) | {SLOW: 0}
            known.advance(INTERVAL, busy, answers)
        assert slow * 100 > 25
        assert known.seconds(SLOW) == pytest.approx(0.1, rel=0.05)


class TestSlowServers:
    def test_events(self) -> None:
        """A server that slows down and recovers is logged once each."""
        log = RecordingLog()
        slow = SlowServers(log)
        known = ServiceSeconds()
        for factor in (1, 6, 1):
            for _ in range(20):
                _advance(known, INTERVAL, factor)
                slow.update(ServiceName('s'), known, SERVERS)
        kinds = [type(event) for event in log.events]
        assert kinds == [ServerSlowed, ServerRecovered]
        assert log.events[0].server == SLOW.server
