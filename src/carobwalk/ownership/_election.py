"""Election of coordinators by compare-and-swap."""

import secrets
from dataclasses import replace

import trio
from result import Err, Ok

from carobwalk.model import ProcessId
from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._group_record import (
    GroupRecord,
    decode_group,
    encode_group,
)
from carobwalk.ownership._store_names import group_record
from carobwalk.store import Conflict, StoreFailure, Unanswered, Versioned


class Election:
    """Raises the epoch of a group in the store.

    Args:
        context: Surroundings of the process.
        group: Group whose coordinator is elected.
    """

    def __init__(self, context: OwnershipContext, group: str) -> None:
        self._context = context
        self._name = group_record(group)
        self._known: Versioned | None = None
        self._is_known = False
        self._conceded = 0

    @property
    def revision(self) -> int:
        """Return the revision of the record as last read."""
        return 0 if self._known is None else self._known.revision

    async def stand(self, silent_epoch: int) -> Versioned | None:
        """Return the record with which this process was elected.

        A coordinator that was elected meanwhile, and could not be heard yet,
        is not deposed at the first attempt.

        Args:
            silent_epoch: Highest epoch of the group that was heard.

        Returns:
            The record, or ``None`` if another process was elected, or the
            store did not answer.
        """
        with trio.move_on_after(self._context.times.store_timeout):
            if not self._is_known and not await self._read():
                return None
            return await self._raise_epoch(silent_epoch)
        self._is_known = False
        return None

    async def refresh(self) -> None:
        """Read the record ahead, so that an election takes one call."""
        with trio.move_on_after(self._context.times.store_timeout):
            await self._read()

    async def _read(self) -> bool:
        answer = await self._context.store.read(self._name)
        if isinstance(answer, Err):
            return False
        self._learn(answer.ok_value)
        return True

    def _learn(self, current: Versioned | None) -> None:
        self._known = current
        self._is_known = True

    async def _raise_epoch(self, silent_epoch: int) -> Versioned | None:
        if self._is_conceded(silent_epoch):
            return None
        won, failure = await self._swap()
        if not isinstance(failure, Conflict):
            return won
        self._learn(failure.current)
        if self._is_conceded(silent_epoch):
            return None
        # Only the successions changed since the record was read.
        won, _ = await self._swap()
        return won

    def _is_conceded(self, silent_epoch: int) -> bool:
        epoch = _epoch(self._known)
        if epoch <= max(silent_epoch, self._conceded):
            return False
        self._conceded = epoch
        return True

    async def _swap(self) -> tuple[Versioned | None, StoreFailure | None]:
        record = _next_record(ProcessId(self._context.own.name), self._known)
        content = encode_group(record)
        revision = 0 if self._known is None else self._known.revision
        answer = await self._context.store.write(self._name, content, revision)
        if isinstance(answer, Ok):
            won = Versioned(self._name, content, answer.ok_value)
            self._learn(won)
            return won, None
        failure = answer.err_value
        self._is_known = False
        if isinstance(failure, Unanswered):
            return await self._won_anyway(record), failure
        return None, failure

    async def _won_anyway(self, record: GroupRecord) -> Versioned | None:
        """Read the record again after a write that was not answered."""
        if not await self._read() or self._known is None:
            return None
        current = decode_group(self._known.content)
        return self._known if current.write_id == record.write_id else None


def _epoch(record: Versioned | None) -> int:
    return 0 if record is None else decode_group(record.content).epoch


def _next_record(process: ProcessId, known: Versioned | None) -> GroupRecord:
    write_id = secrets.token_hex(8)
    if known is None:
        return GroupRecord(epoch=1, coordinator=process, write_id=write_id)
    current = decode_group(known.content)
    return replace(
        current,
        epoch=current.epoch + 1,
        coordinator=process,
        write_id=write_id,
    )
