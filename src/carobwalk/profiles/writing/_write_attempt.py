"""What is known of the attempts of one write."""

from carobwalk.store import StoreFailure, Unanswered


class WriteAttempt:
    """Whether an attempt may still take effect in the store."""

    def __init__(self) -> None:
        self.detail = 'the store gave no answer in time'
        self._expected_revision: int | None = None
        self._unanswered = False

    @property
    def is_open(self) -> bool:
        """Whether an attempt was sent whose outcome is not known."""
        return self._expected_revision is not None

    def note(self, failure: StoreFailure) -> None:
        """Keep the cause of a failed call that was not the write."""
        self.detail = repr(failure)

    def begin(self, expected_revision: int) -> None:
        """Note that the write is sent, for a revision of the record."""
        self._expected_revision = expected_revision

    def end(self, failure: StoreFailure) -> None:
        """Note the failure of the write that was sent.

        A conflict or refusal of this attempt says nothing of an earlier one
        that was not answered: that is settled by the next read.
        """
        self.note(failure)
        if isinstance(failure, Unanswered):
            self._unanswered = True
        elif not self._unanswered:
            self._expected_revision = None

    def settle(self, store_revision: int) -> None:
        """Note the record's revision as read after the attempts.

        A compare-and-swap on an older revision can't take effect any more;
        if it did, the record holds the write's id.
        """
        if self._expected_revision not in {None, store_revision}:
            self._expected_revision = None
            self._unanswered = False
