"""Election of a coordinator by compare-and-swap in the store."""

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
    """Runs for election by raising the epoch of a group's record.

    Args:
        context: Dependencies and settings of this process.
        group: Group whose coordinator is elected.
    """

    def __init__(self, context: OwnershipContext, group: str) -> None:
        self._context = context
        self._name = group_record(group)
        self._known: Versioned | None = None
        self._is_known = False
        self._conceded_epoch = 0

    @property
    def revision(self) -> int:
        """Return the revision of the record as last read, 0 for none."""
        return 0 if self._known is None else self._known.revision

    async def campaign(self, silent_epoch: int) -> Versioned | None:
        """Try to become coordinator by raising the group's epoch.

        The first attempt concedes to a coordinator with a higher epoch than
        that of the silent one, since its first push may still be on the way.

        Args:
            silent_epoch: Highest epoch of the group in the pushes that this
                process received.

        Returns:
            The record with which this process was elected; ``None`` if
            another process was elected or the store did not answer.
        """
        with trio.move_on_after(self._context.times.store_timeout):
            if not self._is_known and not await self._read():
                return None
            return await self._raise_epoch(silent_epoch)
        self._is_known = False
        return None

    async def refresh(self) -> None:
        """Prefetch the record, so that an election takes one call."""
        with trio.move_on_after(self._context.times.store_timeout):
            await self._read()

    async def _read(self) -> bool:
        answer = await self._context.store.read(self._name)
        if isinstance(answer, Err):
            return False
        self._set_known(answer.ok_value)
        return True

    def _set_known(self, current: Versioned | None) -> None:
        self._known = current
        self._is_known = True

    async def _raise_epoch(self, silent_epoch: int) -> Versioned | None:
        if self._concedes(silent_epoch):
            return None
        won, failure = await self._compare_and_swap()
        if not isinstance(failure, Conflict):
            return won
        self._set_known(failure.current)
        if self._concedes(silent_epoch):
            return None
        # Only the successions changed since the record was read.
        won, _ = await self._compare_and_swap()
        return won

    def _concedes(self, silent_epoch: int) -> bool:
        epoch = _epoch(self._known)
        if epoch <= max(silent_epoch, self._conceded_epoch):
            return False
        self._conceded_epoch = epoch
        return True

    async def _compare_and_swap(
        self,
    ) -> tuple[Versioned | None, StoreFailure | None]:
        record = _next_record(ProcessId(self._context.own.name), self._known)
        content = encode_group(record)
        revision = 0 if self._known is None else self._known.revision
        answer = await self._context.store.write(self._name, content, revision)
        if isinstance(answer, Ok):
            won = Versioned(self._name, content, answer.ok_value)
            self._set_known(won)
            return won, None
        failure = answer.err_value
        self._is_known = False
        if isinstance(failure, Unanswered):
            return await self._resolve_unanswered(record), failure
        return None, failure

    async def _resolve_unanswered(
        self, record: GroupRecord
    ) -> Versioned | None:
        """Return the record if an unanswered write of it took effect."""
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
