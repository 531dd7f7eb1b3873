"""List-and-watch loop over the records with a common name prefix."""

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
from carobwalk.store._watch_rate_limiter import WatchRateLimiter

_WATCH_TIMEOUT_SECONDS: Final = 25.0
_INITIAL_BACKOFF_SECONDS: Final = 0.1
_MAX_BACKOFF_SECONDS: Final = 0.5
_BACKOFF_FACTOR: Final = 1.5
_JITTER_RANGE: Final = (0.5, 1.5)
# A shorter interruption is not treated as an outage, because no registry
# entry can have expired in it.
_MIN_OUTAGE_SECONDS: Final = 1.0


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
    """The records of a prefix have been listed for the first time or again.

    Args:
        prefix: Common prefix of the record names.
        revision: Revision of the listing.
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


class RecordFollower:
    """Keeps a reader up to date: lists the records, then watches them.

    After a failed call or a compaction of the history, the records are listed
    again. Failed calls are retried with jittered exponential backoff.

    Args:
        store: Client of the key-value service.
        prefix: Common prefix of the record names.
        reader: Receives the records.
        clock: Clock for outages and for the rate limit of watch calls.
        events: Log of events.
        is_urgent: Returns whether changes must be fetched at once, without
            the rate limit; by default, the limit always applies.
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
        self._rate_limiter = WatchRateLimiter(clock)
        self._revision = 0
        self._lost_since: float | None = clock.now()
        self._has_listed = False

    @property
    def is_current(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._lost_since is None

    async def run(self) -> None:
        """List and watch until cancelled."""
        backoff = _INITIAL_BACKOFF_SECONDS
        needs_listing = True
        while True:
            failure = await self._list_or_watch(needs_listing=needs_listing)
            if failure is None:
                needs_listing = False
                backoff = _INITIAL_BACKOFF_SECONDS
                continue
            needs_listing = True
            if isinstance(failure, Compacted):
                continue
            self._record_loss(failure)
            # Jitter prevents synchronised retries of all processes.
            await trio.sleep(backoff * random.uniform(*_JITTER_RANGE))
            backoff = min(backoff * _BACKOFF_FACTOR, _MAX_BACKOFF_SECONDS)

    async def _list_or_watch(
        self,
        *,
        needs_listing: bool,
    ) -> StoreFailure | Compacted | None:
        if needs_listing:
            listed = await self._store.list_records(self._prefix)
            return self._load_listing(listed)
        if not self._is_urgent():
            await trio.sleep(self._rate_limiter.reserve())
        watched = await self._store.watch_records(
            self._prefix,
            self._revision,
            _WATCH_TIMEOUT_SECONDS,
        )
        return self._apply_changes(watched)

    def _load_listing(
        self,
        listed: Result[Listing, StoreFailure],
    ) -> StoreFailure | None:
        if isinstance(listed, Err):
            return listed.err_value
        listing = listed.ok_value
        self._revision = listing.revision
        seconds = self._seconds_without_contact()
        after_outage = self._has_listed and seconds >= _MIN_OUTAGE_SECONDS
        self._reader.load(listing, after_outage=after_outage)
        self._has_listed = True
        if self._lost_since is not None:
            self._lost_since = None
            self._events.emit(
                StoreContactRegained(self._prefix, listing.revision, seconds),
            )
        return None

    def _apply_changes(
        self,
        watched: Result[Changes, StoreFailure | Compacted],
    ) -> StoreFailure | Compacted | None:
        if isinstance(watched, Err):
            return watched.err_value
        for change in watched.ok_value.changes:
            self._reader.apply(change)
        self._revision = max(self._revision, watched.ok_value.revision)
        return None

    def _seconds_without_contact(self) -> float:
        if self._lost_since is None:
            return 0
        return self._clock.now() - self._lost_since

    def _record_loss(self, failure: StoreFailure) -> None:
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
