"""State of a write whose outcome may be unknown."""

from carobwalk.store import StoreFailure, Unanswered


class WriteAttempt:
    """Tracks whether a sent write may still take effect in the store.

    Attributes:
        detail: Description of the last failure of the store.
    """

    def __init__(self) -> None:
        self.detail = 'the store gave no answer in time'
        self._expected_revision: int | None = None
        self._has_unanswered_write = False

    @property
    def is_pending(self) -> bool:
        """Whether a write was sent whose outcome is unknown."""
        return self._expected_revision is not None

    def record_failure(self, failure: StoreFailure) -> None:
        """Record the failure of a store call that was not the write."""
        self.detail = repr(failure)

    def mark_sent(self, expected_revision: int) -> None:
        """Record that the write is about to be sent.

        Args:
            expected_revision: Store revision that the compare-and-swap
                expects.
        """
        self._expected_revision = expected_revision

    def record_write_failure(self, failure: StoreFailure) -> None:
        """Record the failure of the write that was sent.

        A conflict or rejection of this attempt does not determine the
        outcome of an earlier, unanswered one; the next read does.
        """
        self.record_failure(failure)
        if isinstance(failure, Unanswered):
            self._has_unanswered_write = True
        elif not self._has_unanswered_write:
            self._expected_revision = None

    def observe_revision(self, store_revision: int) -> None:
        """Record the head record's store revision as read after the attempts.

        If it has changed, a pending compare-and-swap on the older revision
        can no longer take effect; if it took effect, the record holds the
        id of the write.
        """
        if self._expected_revision not in {None, store_revision}:
            self._expected_revision = None
            self._has_unanswered_write = False
