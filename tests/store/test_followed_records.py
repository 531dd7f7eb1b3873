"""Tests of records that come from the store and from other processes."""

import pytest

from carobwalk.store import (
    Changes,
    FollowedRecords,
    Listing,
    Removed,
    Versioned,
    join_revision,
)
from tests.recording_log import RecordingLog


class _Reader:
    """Records what it is told."""

    def __init__(self) -> None:
        self.told: list[object] = []

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Record a listing."""
        self.told.append((listing, after_outage))

    def apply(self, change: Versioned | Removed) -> None:
        """Record a change."""
        self.told.append(change)


class _StoppedClock:
    def now(self) -> float:
        """Return the only time."""
        return 0


@pytest.fixture
def reader() -> _Reader:
    """Return a reader that records what it is told."""
    return _Reader()


@pytest.fixture
def records(reader: _Reader) -> FollowedRecords:
    """Return records of a prefix, none known yet."""
    return FollowedRecords('p/', reader, _StoppedClock(), RecordingLog())


def _row(revision: int) -> Versioned:
    return Versioned('p/a', str(revision).encode(), revision)


class TestOverlap:
    def test_known_changes(self, records, reader) -> None:
        """Changes that another answer has brought are left out."""
        # Guards against going back: an answer of the store that was under way
        # comes after a relay has told newer changes.
        records.load(Listing((_row(1),), 1), after_outage=False)
        records.apply(Changes((_row(2), _row(3)), 3))
        reader.told.clear()
        records.apply(Changes((_row(2), _row(3), _row(4)), 4))
        assert reader.told == [_row(4)]
        assert records.revision == 4

    def test_older_listing(self, records, reader) -> None:
        """A listing from before the known revision is left out."""
        records.apply(Changes((_row(5),), 5))
        reader.told.clear()
        records.load(Listing((), 4), after_outage=False)
        assert not reader.told
        assert records.revision == 5

    def test_revision_never_falls(self, records) -> None:
        """An answer without changes from an older revision changes nothing."""
        records.apply(Changes((_row(5),), 5))
        records.apply(Changes((), 2))
        assert records.revision == 5


class TestRestoredStore:
    def test_listing_of_higher_era(self, records, reader) -> None:
        """A listing of a higher era counts as one after an outage.

        Guards against the loss of servers and evacuations that a restored
        store lacks, if the listing comes from a relay that started meanwhile.
        """
        for revision in (1, 2, join_revision(1, 1), join_revision(1, 2)):
            records.load(Listing((), revision), after_outage=False)
        told = [after_outage for _, after_outage in reader.told]
        assert told == [False, False, True, False]
