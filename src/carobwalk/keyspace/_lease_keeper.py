"""Renewal of the lease that holds the coordinator's role."""

from typing import Final

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

_RETRY_SECONDS: Final = 0.15


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
    times = parts.orders.times
    pause = times.keep_alive
    while not term.is_over:
        await trio.sleep(pause)
        sent = parts.clock.now()
        kept = await _renew(term, store, times.doubt)
        pause = times.keep_alive
        if isinstance(kept, Ok):
            term.renew(sent)
        elif isinstance(kept.err_value, LeaseLost):
            term.end()
            parts.events.emit(TermEnded(term.lease, 'lease lost'))
        else:
            pause = _RETRY_SECONDS
            detail = repr(kept.err_value)
            parts.events.emit(
                TermInDoubt(term.lease, round(term.left, 3), detail),
            )


async def _renew(
    term: Term,
    store: TransactionalStore,
    timeout: float,
) -> Result[None, StoreFailure]:
    # A renewal that is answered late is worth less than the next one.
    with trio.move_on_after(timeout):
        return await store.keep_alive(term.lease)
    return Err(Unanswered(f'no answer within {timeout} s'))
