"""What is known of the attempts of one write."""

from carobwalk.profiles.writing._write_attempt import WriteAttempt
from carobwalk.store import Conflict, Unanswered, Unavailable

_LOST = Unanswered('no reply')


class TestWriteAttempt:
    """Whether an attempt may still take effect."""

    def test_refused_attempt_is_settled(self) -> None:
        """A write that the store never took leaves nothing open."""
        attempt = WriteAttempt()
        attempt.begin(3)
        assert attempt.is_open
        attempt.end(Unavailable('down'))
        assert not attempt.is_open

    def test_unanswered_attempt_stays_open(self) -> None:
        """A later refusal of its repeat does not settle it."""
        attempt = WriteAttempt()
        attempt.begin(3)
        attempt.end(_LOST)
        attempt.begin(3)
        attempt.end(Conflict(None))
        assert attempt.is_open

    def test_same_revision_settles_nothing(self) -> None:
        """The write may still be on its way."""
        attempt = WriteAttempt()
        attempt.begin(3)
        attempt.end(_LOST)
        attempt.settle(3)
        assert attempt.is_open

    def test_other_revision_settles(self) -> None:
        """A compare-and-swap on an older revision can't take effect."""
        attempt = WriteAttempt()
        attempt.begin(3)
        attempt.end(_LOST)
        attempt.settle(4)
        assert not attempt.is_open
        attempt.begin(4)
        attempt.end(Conflict(None))
        assert not attempt.is_open
