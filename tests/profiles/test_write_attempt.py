"""State of a write whose outcome may be unknown."""

from carobwalk.profiles.writing._write_attempt import WriteAttempt
from carobwalk.store import Conflict, Unanswered, Unavailable

_UNANSWERED = Unanswered('no reply')


class TestWriteAttempt:
    """Tracking whether a sent write may still take effect."""

    def test_rejected_attempt_is_not_pending(self) -> None:
        """A write that the store rejected can't take effect later."""
        attempt = WriteAttempt()
        attempt.mark_sent(3)
        assert attempt.is_pending
        attempt.record_write_failure(Unavailable('down'))
        assert not attempt.is_pending

    def test_unanswered_attempt_stays_pending(self) -> None:
        """A conflict of its retry does not determine its outcome."""
        attempt = WriteAttempt()
        attempt.mark_sent(3)
        attempt.record_write_failure(_UNANSWERED)
        attempt.mark_sent(3)
        attempt.record_write_failure(Conflict(None))
        assert attempt.is_pending

    def test_unchanged_revision_leaves_it_pending(self) -> None:
        """An unanswered write may still succeed on an unchanged revision."""
        attempt = WriteAttempt()
        attempt.mark_sent(3)
        attempt.record_write_failure(_UNANSWERED)
        attempt.observe_revision(3)
        assert attempt.is_pending

    def test_changed_revision_ends_it(self) -> None:
        """A compare-and-swap on an older revision can no longer succeed."""
        attempt = WriteAttempt()
        attempt.mark_sent(3)
        attempt.record_write_failure(_UNANSWERED)
        attempt.observe_revision(4)
        assert not attempt.is_pending
        attempt.mark_sent(4)
        attempt.record_write_failure(Conflict(None))
        assert not attempt.is_pending
