"""Listing and watching of the records with a common name prefix."""

from dataclasses import dataclass
from typing import Final

from result import Err

from carobwalk.model import Clock
from carobwalk.store._followed_records import FollowedRecords
from carobwalk.store._store import StoreFailure
from carobwalk.store._transactional import (
    Changes,
    Compacted,
    Listing,
    TransactionalStore,
)
from carobwalk.store._watch_period import WatchPeriod

# A shorter interruption is not treated as an outage, because no registry
# entry can have expired in it.
_MIN_OUTAGE_SECONDS: Final = 1.0
# Stores count waits in whole milliseconds.
_WAIT_ROUNDING_SECONDS: Final = 0.002


@dataclass(frozen=True, slots=True)
class RecordCalls:
    """Calls the store and applies its answers, with the time they prove.

    Args:
        store: Client of the key-value service.
        records: Receives the answers.
        period: Period of the watches.
        clock: Clock for the times of proofs.
    """

    store: TransactionalStore
    records: FollowedRecords
    period: WatchPeriod
    clock: Clock

    async def list_records(self, *, has_failed: bool) -> StoreFailure | None:
        """List all records.

        Args:
            has_failed: Whether the call before failed. A process that reads
                anew because its relay has failed, and gets an answer at once,
                has seen no outage of the store.
        """
        sent = self.clock.now()
        listed = await self.store.list_records(self.records.prefix)
        if isinstance(listed, Err):
            return listed.err_value
        self._load(listed.ok_value, has_failed=has_failed)
        self.records.prove(sent)
        return None

    async def watch(self, *, is_first: bool) -> StoreFailure | Compacted | None:
        """Wait for changes once.

        Args:
            is_first: Whether it is the first watch after a pause.
        """
        sent = self.clock.now()
        wait = self.period.wait(sent, is_first=is_first)
        watched = await self.store.watch_records(
            self.records.prefix,
            self.records.revision,
            wait,
            self.period.margin,
        )
        if isinstance(watched, Err):
            return watched.err_value
        self.records.apply(watched.ok_value)
        self.records.prove(self._answered_at(sent, wait, watched.ok_value))
        return None

    def _load(self, listing: Listing, *, has_failed: bool) -> None:
        records = self.records
        is_long = records.seconds_without_contact >= _MIN_OUTAGE_SECONDS
        records.load(
            listing,
            after_outage=records.has_listed and has_failed and is_long,
        )

    def _answered_at(self, sent: float, wait: float, found: Changes) -> float:
        """Return a time before which the store sent no answer to a watch.

        An answer without changes is sent when the wait is over.
        """
        least = wait - _WAIT_ROUNDING_SECONDS
        is_whole = self.clock.now() - sent >= least
        return sent + least if is_whole and not found.changes else sent
