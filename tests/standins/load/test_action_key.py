"""Tests of idempotency keys."""

from carobwalk.dispatch._issue_time import issue_time
from standins.load import make_action_key


class TestMakeActionKey:
    def test_issue_time(self) -> None:
        """A key tells when it was made, to the millisecond."""
        issued_at = issue_time(make_action_key('1-1', 7_123_456_789))
        assert issued_at is not None
        assert round(issued_at * 1000) == 7123

    def test_distinct(self) -> None:
        """Two marks give two keys."""
        assert make_action_key('1-1', 0) != make_action_key('1-2', 0)
