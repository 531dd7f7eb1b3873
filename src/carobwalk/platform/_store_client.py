"""Client of the platform's metadata store."""

import base64
from http import HTTPStatus
from typing import Final

import msgspec
from result import Err, Ok, Result

from carobwalk.http import HttpRequest, HttpResponse, HttpSender
from carobwalk.model import DECODE_ERRORS, Address
from carobwalk.platform import _store_messages as messages
from carobwalk.platform._store_calls import (
    STALL_SECONDS,
    StoreCalls,
    decode_response,
    json_request,
    unexpected_status,
)
from carobwalk.store import (
    Changes,
    Compacted,
    Conflict,
    LeaseId,
    LeaseLost,
    Listing,
    Removed,
    StoreFailure,
    Unanswered,
    Versioned,
    era_of_lease,
    era_of_revision,
    join_lease,
    join_revision,
    split_lease,
    split_revision,
)

DEFAULT_TIMEOUT_SECONDS: Final = 1.5
# Time allowed for the answer of a watch beyond its own wait.
_WATCH_TIMEOUT_MARGIN_SECONDS: Final = 5.0
_MILLISECONDS_PER_SECOND: Final = 1000


class PlatformStore:
    """Client of the store; implements ``TransactionalStore``.

    The store may be restored from a copy some seconds old, and says so by its
    era. Revisions and leases are joined with the era in which they were
    issued, so that those of an earlier one are never taken for current ones.

    Args:
        sender: HTTP client.
        address: Address of the store.
        timeout: Timeout of a call in seconds, other than that of a watch.
    """

    def __init__(
        self,
        sender: HttpSender,
        address: Address,
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        self._calls = StoreCalls(sender, address, timeout)

    async def list_records(
        self,
        prefix: str,
    ) -> Result[Listing, StoreFailure]:
        """Return all records of a prefix, fetched page by page.

        Args:
            prefix: Start of the names of the records.

        Returns:
            The records, and a revision to watch from without a gap.
        """
        records: list[Versioned] = []
        query = {'prefix': prefix}
        first_revision = 0
        first_era: int | None = None
        while True:
            page = await self._calls.get('/kv-range', query, messages.Page)
            if isinstance(page, Err):
                return page
            era = self._era
            first_era = era if first_era is None else first_era
            if era != first_era:
                return Err(Unanswered('the store was restored meanwhile'))
            found = page.ok_value
            # Pages are not a consistent snapshot. A watch from the revision of
            # the first page misses no change.
            first_revision = first_revision or found.as_of
            records.extend(_decode_row(row, era) for row in found.items)
            if not found.has_more or not found.items:
                return Ok(
                    Listing(tuple(records), join_revision(era, first_revision))
                )
            query = {'prefix': prefix, 'after': found.items[-1].key}

    async def watch_records(
        self,
        prefix: str,
        after_revision: int,
        timeout: float,
        margin: float = _WATCH_TIMEOUT_MARGIN_SECONDS,
    ) -> Result[Changes, StoreFailure | Compacted]:
        """Wait for changes after a revision.

        Args:
            prefix: Start of the names of the records.
            after_revision: Revision that all returned changes are above.
            timeout: Longest wait of the store for a change in seconds.
            margin: Time in seconds beyond it until the answer begins.
        """
        era, after = split_revision(after_revision)
        self._calls.era.raise_to(era)
        if era < self._era:
            return Err(Compacted())
        query = {
            'prefix': prefix,
            'after': str(after),
            'wait_ms': str(int(timeout * _MILLISECONDS_PER_SECOND)),
        }
        answered = await self._calls.send(
            HttpRequest(
                method='GET',
                path='/kv-watch',
                query=query,
                stall_seconds=STALL_SECONDS,
            ),
            timeout + margin,
        )
        if isinstance(answered, Err):
            return answered
        is_gone = answered.ok_value.status == HTTPStatus.GONE
        if is_gone or era < self._era:
            return Err(Compacted())
        return decode_response(answered.ok_value, messages.Watched).map(
            lambda watched: _decode_changes(watched, era),
        )

    async def write(
        self,
        name: str,
        content: bytes,
        expected_revision: int,
        lease: LeaseId | None = None,
    ) -> Result[int, StoreFailure]:
        """Write a record if its revision is the expected one.

        Args:
            name: Name of the record.
            content: New content.
            expected_revision: Current revision, 0 for an absent record.
            lease: Lease that the record is removed with, if any.

        Returns:
            The new revision of the record.
        """
        if lease and era_of_lease(lease) < self._era:
            return Err(LeaseLost(lease))
        written = messages.Write(
            key=name,
            value=base64.b64encode(content).decode('ascii'),
            lease=split_lease(lease)[1] if lease else 0,
        )
        return await self._commit(
            messages.Transaction(
                precondition=(_expected(name, expected_revision),),
                set_keys=(written,),
            ),
            expected_revision,
            lease,
        )

    async def remove(
        self,
        name: str,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Remove a record if its revision is the expected one."""
        return await self._commit(
            messages.Transaction(
                precondition=(_expected(name, expected_revision),),
                remove=(name,),
            ),
            expected_revision,
            None,
        )

    async def open_lease(self, ttl: float) -> Result[LeaseId, StoreFailure]:
        """Open a lease.

        Args:
            ttl: Time to live in seconds.
        """
        opened = await self._calls.post(
            '/kv-lease',
            messages.LeaseWish(ttl),
            messages.Lease,
        )
        return opened.map(lambda lease: join_lease(self._era, lease.lease))

    async def keep_alive(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease."""
        return await _send_lease_call(self._calls, 'POST', '/kv-keep', lease)

    async def end_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """End a lease."""
        return await _send_lease_call(
            self._calls, 'DELETE', '/kv-lease-end', lease
        )

    async def _commit(
        self,
        transaction: messages.Transaction,
        expected_revision: int,
        lease: LeaseId | None,
    ) -> Result[int, StoreFailure]:
        era = era_of_revision(expected_revision) if expected_revision else None
        if era is not None and era < self._era:
            return Err(Conflict(None))
        era_before = self._era
        answered = await self._calls.send(
            json_request('/kv-txn', transaction),
        )
        if isinstance(answered, Err):
            return answered
        response = answered.ok_value
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            return Err(_decode_conflict(response, self._era))
        if era_before < self._era and (expected_revision or lease):
            # The revision or the lease may have been issued to others again.
            return Err(Unanswered('the store was restored meanwhile'))
        if response.status == HTTPStatus.NOT_FOUND and lease:
            return Err(LeaseLost(lease))
        return decode_response(response, messages.Committed).map(
            lambda committed: join_revision(self._era, committed.revision),
        )

    @property
    def _era(self) -> int:
        return self._calls.era.current


async def _send_lease_call(
    calls: StoreCalls,
    method: str,
    path: str,
    lease: LeaseId,
) -> Result[None, StoreFailure]:
    era, number = split_lease(lease)
    if era < calls.era.current:
        return Err(LeaseLost(lease))
    request = HttpRequest(method=method, path=f'{path}/{number}')
    answered = await calls.send(request)
    if isinstance(answered, Err):
        return answered
    status = answered.ok_value.status
    # The same number may be that of another lease in a later era.
    if status == HTTPStatus.NOT_FOUND or era < calls.era.current:
        return Err(LeaseLost(lease))
    if status >= HTTPStatus.MULTIPLE_CHOICES:
        return Err(unexpected_status(answered.ok_value))
    return Ok(None)


def _expected(name: str, revision: int) -> messages.Expected:
    return messages.Expected(name, split_revision(revision)[1])


def _decode_conflict(response: HttpResponse, era: int) -> StoreFailure:
    try:
        found = msgspec.json.decode(response.body, type=messages.Current)
    except DECODE_ERRORS as error:
        return Unanswered(f'conflict reply that cannot be decoded: {error}')
    rows = [row for row in found.items if row.value is not None]
    return Conflict(_decode_row(rows[0], era) if rows else None)


def _decode_row(row: messages.Row, era: int) -> Versioned:
    try:
        content = base64.b64decode(row.value or '', validate=True)
    except ValueError:
        content = b''  # Rejected as malformed by the reader of the record.
    return Versioned(row.key, content, join_revision(era, row.revision))


def _decode_changes(watched: messages.Watched, era: int) -> Changes:
    return Changes(
        tuple(
            Removed(row.key, join_revision(era, row.revision))
            if row.deleted
            else _decode_row(row, era)
            for row in watched.events
        ),
        join_revision(era, watched.as_of),
    )
