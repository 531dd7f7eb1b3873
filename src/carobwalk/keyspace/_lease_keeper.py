"""Renewal of the lease that holds the coordinator's role."""

import trio
from result import Err, Ok, Result

from carobwalk.keyspace._coordinator_parts import CoordinatorParts
from carobwalk.keyspace._term import Term
from carobwalk.keyspace._term_events import TermEnded, TermInDoubt
from carobwalk.store import (
    LeaseLost,
    StoreFailure,
    TransactionalStore,
    Unanswered,
)


async def keep_lease(
    term: Term,
    store: TransactionalStore,
    parts: CoordinatorParts,
) -> None:
    """Renew the lease of a term until it is lost.

    Args:
        term: The term; it ends when the lease is lost.
        store: The key-value service.
        parts: What coordination needs.
    """
    keeper = _LeaseKeeper(term, store, parts)
    async with trio.open_nursery() as nursery:
        while not term.is_over:
            await trio.sleep(parts.orders.times.keep_alive)
            # A slow answer must not hold up the next renewal.
            nursery.start_soon(keeper.renew)


class _LeaseKeeper:
    def __init__(
        self,
        term: Term,
        store: TransactionalStore,
        parts: CoordinatorParts,
    ) -> None:
        self._term = term
        self._store = store
        self._parts = parts

    async def renew(self) -> None:
        """Renew the lease once."""
        sent = self._parts.clock.now()
        kept = await self._call()
        if isinstance(kept, Ok):
            self._term.renew(sent)
        elif not isinstance(kept.err_value, LeaseLost):
            self._log_doubt(kept.err_value)
        elif not self._term.is_over:
            self._term.end()
            self._parts.events.emit(TermEnded(self._term.lease, 'lease lost'))

    async def _call(self) -> Result[None, StoreFailure]:
        timeout = self._parts.orders.times.lease
        with trio.move_on_after(timeout):
            return await self._store.keep_alive(self._term.lease)
        return Err(Unanswered(f'no answer within {timeout} s'))

    def _log_doubt(self, failure: StoreFailure) -> None:
        left = round(self._term.left, 3)
        self._parts.events.emit(
            TermInDoubt(self._term.lease, left, repr(failure)),
        )
