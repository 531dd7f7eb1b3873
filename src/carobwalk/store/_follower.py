"""Following of the records of a prefix."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar, Final, Protocol

import trio
from result import Err, Result

from carobwalk.events import Event, EventLog
from carobwalk.model import Clock
from carobwalk.store._store import StoreFailure, Versioned
from carobwalk.store._transactional import (
    Changes,
    Compacted,
    Listing,
    Removed,
    TransactionalStore,
)
from carobwalk.store._watch_pace import WatchPace

WATCH_SECONDS: Final = 25.0
_FIRST_PAUSE_SECONDS: Final = 0.1
_LONGEST_PAUSE_SECONDS: Final = 0.5
_PAUSE_GROWTH: Final = 1.5
_JITTER: Final = (0.5, 1.5)
# Failures shorter than this are no outage: no entry has lapsed meanwhile.
_OUTAGE_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class StoreContactLost(Event):
    """The records of a prefix can't be followed.

    Args:
        prefix: Start of the records' names.
        cause: Kind of the failure.
        detail: What went wrong.
    """

    level: ClassVar[str] = 'warning'

    prefix: str
    cause: str
    detail: str


@dataclass(frozen=True, slots=True)
class StoreContactRegained(Event):
    """The records of a prefix are followed again.

    Args:
        prefix: Start of the records' names.
        revision: Revision of the listing.
        seconds: How long there was no contact.
    """

    prefix: str
    revision: int
    seconds: float


class RecordReader(Protocol):
    """Takes the records of a prefix as they change."""

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Take all records; those not listed are gone."""

    def apply(self, change: Versioned | Removed) -> None:
        """Take one change."""


class RecordFollower:
    """Keeps a reader up to date: lists once, then watches.

    Args:
        store: The key-value service.
        prefix: Start of the records' names.
        reader: Takes the records.
        clock: Clock of outages.
        events: Log of events.
        is_urgent: Returns whether a series of changes may not be gathered;
            it may always, by default.
    """

    def __init__(
        self,
        store: TransactionalStore,
        prefix: str,
        reader: RecordReader,
        clock: Clock,
        events: EventLog,
        is_urgent: Callable[[], bool] = bool,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._reader = reader
        self._clock = clock
        self._events = events
        self._is_urgent = is_urgent
        self._pace = WatchPace(clock)
        self._revision = 0
        self._lost_since: float | None = clock.now()
        self._has_listed = False

    @property
    def is_current(self) -> bool:
        """Whether the last call succeeded."""
        return self._lost_since is None

    async def run(self) -> None:
        """Follow until cancelled."""
        pause = _FIRST_PAUSE_SECONDS
        needs_listing = True
        while True:
            failure = await self._step(needs_listing=needs_listing)
            if failure is None:
                needs_listing = False
                pause = _FIRST_PAUSE_SECONDS
                continue
            needs_listing = True
            if isinstance(failure, Compacted):
                continue
            self._lose(failure)
            # Jitter keeps the processes from calling in step after an outage.
            await trio.sleep(pause * random.uniform(*_JITTER))
            pause = min(pause * _PAUSE_GROWTH, _LONGEST_PAUSE_SECONDS)

    async def _step(
        self,
        *,
        needs_listing: bool,
    ) -> StoreFailure | Compacted | None:
        if needs_listing:
            listed = await self._store.list_records(self._prefix)
            return self._take_listing(listed)
        if not self._is_urgent():
            await trio.sleep(self._pace.pause())
        watched = await self._store.watch_records(
            self._prefix,
            self._revision,
            WATCH_SECONDS,
        )
        return self._take_changes(watched)

    def _take_listing(
        self,
        listed: Result[Listing, StoreFailure],
    ) -> StoreFailure | None:
        if isinstance(listed, Err):
            return listed.err_value
        listing = listed.ok_value
        self._revision = listing.revision
        away = self._seconds_away()
        after_outage = self._has_listed and away >= _OUTAGE_SECONDS
        self._reader.load(listing, after_outage=after_outage)
        self._has_listed = True
        if self._lost_since is not None:
            self._lost_since = None
            self._events.emit(
                StoreContactRegained(self._prefix, listing.revision, away),
            )
        return None

    def _take_changes(
        self,
        watched: Result[Changes, StoreFailure | Compacted],
    ) -> StoreFailure | Compacted | None:
        if isinstance(watched, Err):
            return watched.err_value
        for change in watched.ok_value.changes:
            self._reader.apply(change)
        self._revision = max(self._revision, watched.ok_value.revision)
        return None

    def _seconds_away(self) -> float:
        if self._lost_since is None:
            return 0
        return self._clock.now() - self._lost_since

    def _lose(self, failure: StoreFailure) -> None:
        if self._lost_since is not None:
            return
        self._lost_since = self._clock.now()
        self._events.emit(
            StoreContactLost(
                self._prefix,
                type(failure).__name__,
                str(getattr(failure, 'detail', '')),
            ),
        )
