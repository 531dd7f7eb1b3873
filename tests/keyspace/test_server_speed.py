"""Service times of owners that become many times slower."""

from carobwalk.directory import ServerIncarnation
from carobwalk.gateway import RequestTotals
from carobwalk.keyspace._server_speed import ServerSpeeds
from carobwalk.keyspace._server_work import rate_of
from carobwalk.model import ServerId

SLOTS = 4
WINDOW = 0.5
TOLERANCE = 0.005


def make_incarnation(number: int) -> ServerIncarnation:
    """Return an incarnation of a server."""
    return ServerIncarnation(ServerId(f's{number}'), 1)


def record(speeds: ServerSpeeds, now: float, slow: RequestTotals) -> None:
    """Record a window of three normal servers and one with other work."""
    normal = RequestTotals(answers=14, seconds=14 * 0.075)
    for number in range(3):
        speeds.record(
            make_incarnation(number), rate_of(normal, WINDOW), SLOTS, now
        )
    speeds.record(make_incarnation(9), rate_of(slow, WINDOW), SLOTS, now)


class TestServerSpeeds:
    def test_abandoned_requests(self) -> None:
        """A server that answers hardly any requests is estimated as slow."""
        speeds = ServerSpeeds()
        for window in range(6):
            abandoned = RequestTotals(answers=1, given_up=9, seconds=10 * 0.9)
            record(speeds, window * WINDOW, abandoned)
        ratio = speeds.seconds(make_incarnation(9), 3) / speeds.seconds(
            make_incarnation(1),
            3,
        )
        assert ratio > 5

    def test_queue(self) -> None:
        """Queueing does not increase the estimated service time."""
        speeds = ServerSpeeds()
        busy = RequestTotals(answers=26, seconds=26 * 0.3)
        for window in range(20):
            record(speeds, window * WINDOW, busy)
        error = speeds.seconds(make_incarnation(9), 10) - SLOTS * WINDOW / 26
        assert abs(error) < TOLERANCE

    def test_recovery(self) -> None:
        """The estimate of a server without requests decays to the median."""
        speeds = ServerSpeeds()
        for window in range(6):
            record(speeds, window * WINDOW, RequestTotals(0, 9, 9 * 0.9))
        slow = speeds.seconds(make_incarnation(9), 3)
        later = speeds.seconds(make_incarnation(9), 33)
        median = speeds.median_seconds()
        assert later - median < (slow - median) / 20
