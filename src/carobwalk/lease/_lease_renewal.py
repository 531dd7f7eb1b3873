"""Renewal of the lease that holds a role."""

import trio
from result import Err, Ok, Result

from carobwalk.events import EventLog
from carobwalk.lease._lease_times import LeaseTimes
from carobwalk.lease._term import Term
from carobwalk.lease._term_events import TermEnded, TermInDoubt
from carobwalk.model import Clock
from carobwalk.store import (
    LeaseLost,
    StoreFailure,
    TransactionalStore,
    Unanswered,
)


async def renew_lease(
    term: Term,
    store: TransactionalStore,
    times: LeaseTimes,
    clock: Clock,
    events: EventLog,
) -> None:
    """Renew the lease of a term until it is lost.

    Args:
        term: Term to keep alive; it ends when the lease is lost.
        store: Key-value service that holds the lease.
        times: Timing settings of the lease.
        clock: Clock of the term.
        events: Event log.
    """
    renewer = _LeaseRenewer(term, store, times, clock, events)
    async with trio.open_nursery() as nursery:
        while not term.is_over:
            await trio.sleep(times.keep_alive)
            # A slow answer must not delay the next renewal.
            nursery.start_soon(renewer.renew)


class _LeaseRenewer:
    def __init__(
        self,
        term: Term,
        store: TransactionalStore,
        times: LeaseTimes,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._term = term
        self._store = store
        self._timeout = times.lease
        self._clock = clock
        self._events = events

    async def renew(self) -> None:
        """Send one renewal and update the term by its result."""
        sent = self._clock.now()
        renewed = await self._send_keep_alive()
        if isinstance(renewed, Ok):
            self._term.renew(sent)
        elif not isinstance(renewed.err_value, LeaseLost):
            self._emit_in_doubt(renewed.err_value)
        elif not self._term.is_over:
            self._term.end()
            self._events.emit(TermEnded(self._term.lease, 'lease lost'))

    async def _send_keep_alive(self) -> Result[None, StoreFailure]:
        with trio.move_on_after(self._timeout):
            return await self._store.keep_alive(self._term.lease)
        return Err(Unanswered(f'no answer within {self._timeout} s'))

    def _emit_in_doubt(self, failure: StoreFailure) -> None:
        left = round(self._term.seconds_left, 3)
        self._events.emit(
            TermInDoubt(self._term.lease, left, repr(failure)),
        )
