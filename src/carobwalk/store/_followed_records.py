"""Records of a prefix as this process knows them."""

import math
from dataclasses import dataclass
from typing import ClassVar, Protocol

from carobwalk.events import Event, EventLog
from carobwalk.model import Clock
from carobwalk.store._era import era_of_revision
from carobwalk.store._store import Versioned
from carobwalk.store._transactional import Changes, Listing, Removed


@dataclass(frozen=True, slots=True)
class StoreContactLost(Event):
    """Calls for the records of a prefix have started to fail.

    Args:
        prefix: Common prefix of the record names.
        cause: Class name of the failure.
        detail: Description of the failure.
    """

    level: ClassVar[str] = 'warning'

    prefix: str
    cause: str
    detail: str


@dataclass(frozen=True, slots=True)
class StoreContactRegained(Event):
    """The records of a prefix are known for the first time or again.

    Args:
        prefix: Common prefix of the record names.
        revision: Revision up to which they are known.
        seconds: Time without contact.
    """

    prefix: str
    revision: int
    seconds: float


class RecordReader(Protocol):
    """Receives the records of a prefix and their changes."""

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Replace all records; any that is not listed no longer exists.

        Args:
            listing: Complete listing of the prefix.
            after_outage: Whether contact had been lost for long enough that
                records may have expired only because of the outage.
        """

    def apply(self, change: Versioned | Removed) -> None:
        """Apply one change."""


class FollowedRecords:
    """Applies listings and changes of a prefix, from wherever they come.

    Those of the store and those that other processes have read may overlap;
    what is older than the known revision is left out. At ``proved_at``, in
    seconds of the clock, there were no changes but the known ones.

    Args:
        prefix: Common prefix of the record names.
        reader: Receives the records.
        clock: Clock for outages.
        events: Log of events.
    """

    def __init__(
        self,
        prefix: str,
        reader: RecordReader,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.prefix = prefix
        self.revision = 0
        self.has_listed = False
        self.proved_at = -math.inf
        self._reader = reader
        self._clock = clock
        self._events = events
        self._lost_since: float | None = clock.now()

    @property
    def is_current(self) -> bool:
        """Whether the source of the records answered last."""
        return self._lost_since is None

    @property
    def seconds_without_contact(self) -> float:
        """Time since contact was lost, 0 if it is not."""
        if self._lost_since is None:
            return 0
        return self._clock.now() - self._lost_since

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Replace all records unless newer ones are known.

        A listing of a higher era is one after an outage, whatever its source
        knows: a process that has started since the restore saw none.

        Args:
            listing: Complete listing of the prefix.
            after_outage: Whether missing records may have expired only
                because of an outage of the store.
        """
        if listing.revision >= self.revision:
            known_era = era_of_revision(self.revision)
            is_restored = era_of_revision(listing.revision) > known_era
            self.revision = listing.revision
            self._reader.load(
                listing,
                after_outage=after_outage or (self.has_listed and is_restored),
            )
            self.has_listed = True
        self.confirm()

    def apply(self, changes: Changes) -> None:
        """Apply the changes that are new."""
        known = self.revision
        for change in changes.changes:
            if change.revision > known:
                self._reader.apply(change)
        self.revision = max(known, changes.revision)

    def prove(self, proved_at: float) -> None:
        """Record that all changes before a time are known."""
        self.proved_at = max(self.proved_at, proved_at)

    def confirm(self) -> None:
        """Record that the source has answered and knows nothing newer."""
        if self._lost_since is None:
            return
        seconds = self.seconds_without_contact
        self._lost_since = None
        self._events.emit(
            StoreContactRegained(self.prefix, self.revision, seconds)
        )

    def lose(self, since: float, cause: str, detail: str) -> None:
        """Record that the source of the records no longer answers.

        Args:
            since: Time of the last contact.
            cause: Short name of the cause, for the log.
            detail: Description of the failure.
        """
        if self._lost_since is None:
            self._lost_since = since
            self._events.emit(StoreContactLost(self.prefix, cause, detail))
