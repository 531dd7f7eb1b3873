"""List-and-watch loop over the records with a common name prefix."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from result import Err, Ok

from carobwalk.events import EventLog
from carobwalk.model import Clock
from carobwalk.store._direct_access import AccessReason, DirectAccess
from carobwalk.store._followed_records import FollowedRecords, RecordReader
from carobwalk.store._record_calls import RecordCalls
from carobwalk.store._store import StoreFailure
from carobwalk.store._transactional import Compacted, TransactionalStore
from carobwalk.store._watch_period import WatchPeriod
from carobwalk.store._watch_rate_limiter import WatchRateLimiter


def _ignore_proof() -> None:
    """Do nothing about a proof."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadOptions:
    """How a follower reads from the store.

    Args:
        access: Way to the store; by default, it is always open.
        period: Period of the watches.
        on_proof: Called after each answer of the store.
    """

    access: DirectAccess = field(
        default_factory=lambda: DirectAccess(AccessReason.ALWAYS)
    )
    period: WatchPeriod = WatchPeriod()  # noqa: RUF009 frozen
    on_proof: Callable[[], None] = _ignore_proof


class RecordFollower:
    """Keeps a reader up to date: lists the records, then watches them.

    After a failed call or a compaction of the history, the records are listed
    again. While the way to the store is closed, ``records`` are updated by
    what another process has read, and when it opens, they are watched from
    there.

    Args:
        store: Client of the key-value service.
        prefix: Common prefix of the record names.
        reader: Receives the records.
        clock: Clock for outages and for the rate limit of watch calls.
        events: Log of events.
        options: How to read from the store.
    """

    def __init__(
        self,
        store: TransactionalStore,
        prefix: str,
        reader: RecordReader,
        clock: Clock,
        events: EventLog,
        options: ReadOptions | None = None,
    ) -> None:
        options = options or ReadOptions()
        self.records = FollowedRecords(prefix, reader, clock, events)
        self._store = store
        self._clock = clock
        self._access = options.access
        self._on_proof = options.on_proof
        self._calls = RecordCalls(store, self.records, options.period, clock)
        self._rate_limiter = WatchRateLimiter(clock)
        self._is_reading = False
        self._has_failed = False

    @property
    def is_current(self) -> bool:
        """Whether the store, or a process that reads it, answered last."""
        return self.records.is_current

    @property
    def is_reading(self) -> bool:
        """Whether the last call of this process to the store succeeded."""
        return self._is_reading and self._access.is_open

    async def run(self) -> None:
        """List and watch until cancelled."""
        needs_listing = True
        while True:
            await self._access.wait_until_open()
            scope = trio.CancelScope()
            with scope:
                needs_listing = await self._read_while_open(
                    scope, needs_listing=needs_listing
                )
            if scope.cancelled_caught:
                self._is_reading = False
                needs_listing = self._has_failed or not self.records.has_listed

    async def read_first(self, timeout: float) -> None:
        """List the records, and if there are none, wait for the first.

        Args:
            timeout: Longest wait in seconds.
        """
        prefix = self.records.prefix
        listed = await self._store.list_records(prefix)
        if isinstance(listed, Err):
            return
        self.records.load(listed.ok_value, after_outage=False)
        if listed.ok_value.records:
            return
        watched = await self._store.watch_records(
            prefix, self.records.revision, timeout, WatchPeriod().margin
        )
        if isinstance(watched, Ok):
            self.records.apply(watched.ok_value)

    async def _read_while_open(
        self, scope: trio.CancelScope, *, needs_listing: bool
    ) -> bool:
        """List or watch; return whether the records must be listed next.

        Args:
            scope: Encloses this call; cancelled if the way to the store is
                closed meanwhile.
            needs_listing: Whether to list the records.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_closed, scope)
            failure = await self._list_or_watch(needs_listing=needs_listing)
            if failure is None:
                self._record_success()
            elif not isinstance(failure, Compacted):
                self._is_reading = False
                self._has_failed = True
                await self._handle_failure(failure)
            nursery.cancel_scope.cancel()
        return failure is not None

    def _record_success(self) -> None:
        self._access.backoff.record_success()
        self.records.confirm()
        self._is_reading = True
        self._has_failed = False
        self._on_proof()

    async def _cancel_when_closed(self, scope: trio.CancelScope) -> None:
        await self._access.wait_until_closed()
        scope.cancel()

    async def _handle_failure(self, failure: StoreFailure) -> None:
        if not self._access.has_relay:
            self.records.lose(
                self._clock.now(),
                type(failure).__name__,
                str(getattr(failure, 'detail', '')),
            )
        await self._access.backoff.wait(self._access.longest_backoff)

    async def _list_or_watch(
        self,
        *,
        needs_listing: bool,
    ) -> StoreFailure | Compacted | None:
        if needs_listing:
            return await self._calls.list_records(has_failed=self._has_failed)
        interval = self._access.watch_interval
        await trio.sleep(self._rate_limiter.reserve(interval))
        return await self._calls.watch(is_first=not self._is_reading)
