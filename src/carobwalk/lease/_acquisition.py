"""Acquisition of a role that a lease in the store holds."""

from result import Err

from carobwalk.lease._lease_times import LeaseTimes
from carobwalk.lease._term import Term
from carobwalk.model import Clock
from carobwalk.store import TransactionalStore


async def acquire_term(
    store: TransactionalStore,
    name: str,
    content: bytes,
    times: LeaseTimes,
    clock: Clock,
) -> Term | None:
    """Try to acquire a role; the store decides between candidates.

    Args:
        store: Key-value service.
        name: Name of the record that names the holder of the role.
        content: Content of that record.
        times: Timing settings of the lease.
        clock: Clock that keeps running while the host is suspended.

    Returns:
        The new term, ``None`` if another process holds the role or the store
        failed.
    """
    sent = clock.now()
    opened = await store.open_lease(times.lease)
    if isinstance(opened, Err):
        return None
    lease = opened.ok_value
    written = await store.write(name, content, 0, lease)
    if isinstance(written, Err):
        # If an unanswered write took effect, it expires with the lease.
        await store.end_lease(lease)
        return None
    return Term(lease, sent, times, clock)
