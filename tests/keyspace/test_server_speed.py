"""Pattern: some owners turn many times slower, and callers leave them."""

from carobwalk.gateway import RequestTotals
from carobwalk.keyspace._key_range import ServerLife
from carobwalk.keyspace._server_speed import ServerSpeeds
from carobwalk.keyspace._server_work import rate_of
from carobwalk.model import ServerId

SLOTS = 4
WINDOW = 0.5
TOLERANCE = 0.005


def make_life(number: int) -> ServerLife:
    """Return a life of a server."""
    return ServerLife(ServerId(f's{number}'), 1)


def record(speeds: ServerSpeeds, now: float, slow: RequestTotals) -> None:
    """Record a window: three usual servers, and one with other work."""
    usual = RequestTotals(answers=14, seconds=14 * 0.075)
    for number in range(3):
        speeds.record(make_life(number), rate_of(usual, WINDOW), SLOTS, now)
    speeds.record(make_life(9), rate_of(slow, WINDOW), SLOTS, now)


class TestServerSpeeds:
    def test_callers_leave(self) -> None:
        """A server that answers hardly any request is known to be slow."""
        speeds = ServerSpeeds()
        for window in range(6):
            abandoned = RequestTotals(answers=1, given_up=9, seconds=10 * 0.9)
            record(speeds, window * WINDOW, abandoned)
        ratio = speeds.seconds(make_life(9), 3) / speeds.seconds(
            make_life(1),
            3,
        )
        assert ratio > 5

    def test_queue(self) -> None:
        """A queue does not make a server seem slow."""
        speeds = ServerSpeeds()
        busy = RequestTotals(answers=26, seconds=26 * 0.3)
        for window in range(20):
            record(speeds, window * WINDOW, busy)
        error = speeds.seconds(make_life(9), 10) - SLOTS * WINDOW / 26
        assert abs(error) < TOLERANCE

    def test_recovery(self) -> None:
        """A server that is asked no more is taken for a usual one again."""
        speeds = ServerSpeeds()
        for window in range(6):
            record(speeds, window * WINDOW, RequestTotals(0, 9, 9 * 0.9))
        slow = speeds.seconds(make_life(9), 3)
        later = speeds.seconds(make_life(9), 33)
        usual = speeds.usual()
        assert later - usual < (slow - usual) / 20
