"""Tests of generated idempotency keys."""

from carobwalk.dispatch._issue_time import issue_time
from standins.load import make_idempotency_key


class TestMakeIdempotencyKey:
    def test_issue_time(self) -> None:
        """A key contains its time of issue in milliseconds."""
        issued_at = issue_time(make_idempotency_key('1-1', 7_123_456_789))
        assert issued_at is not None
        assert round(issued_at * 1000) == 7123

    def test_distinct(self) -> None:
        """Different marks give different keys."""
        assert make_idempotency_key('1-1', 0) != make_idempotency_key('1-2', 0)
