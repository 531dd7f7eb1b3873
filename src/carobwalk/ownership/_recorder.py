"""Writes of a group's successions to the store."""

import secrets
from collections.abc import Mapping

import trio
from result import Ok

from carobwalk.model import ProcessId
from carobwalk.ownership._events import (
    RecordUnsettled,
    RecordWritten,
    StoreCallFailed,
)
from carobwalk.ownership._group_record import (
    GroupRecord,
    decode_group,
)
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._record_calls import RecordCalls
from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._succession import Succession
from carobwalk.ownership._succession_choice import SuccessionChoice
from carobwalk.store import Conflict, StoreFailure, Unanswered, Versioned

Successions = Mapping[ShardId, Succession]


class Recorder:
    """Keeps the record in the store in step with the wished successions.

    A write without an answer leaves its rows unsettled. Only a later write
    that the store confirms settles them: it raises the revision, so that the
    earlier write cannot take effect any more. A mere reading would not do.

    Args:
        state: State of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state
        self._choice = SuccessionChoice(state)
        self._calls = RecordCalls(state.context, state.group)
        self._context = state.context
        self._rules = state.context.rules

    async def run(self) -> None:
        """Write whenever the wishes differ from the record."""
        times = self._state.context.times
        while True:
            pause = times.decision_interval
            wishes = self._wishes()
            due = self._is_in_touch() and self._is_due(wishes)
            if due and not await self._write(wishes):
                pause = times.store_retry
            await trio.sleep(pause)

    def _is_in_touch(self) -> bool:
        """Return whether any server was heard lately.

        A coordinator that hears nobody leaves the record to its successor.
        """
        links = self._state.links.values()
        return any(self._state.is_fresh(link) for link in links)

    def _wishes(self) -> Successions:
        found = {}
        for shard_id, shard in self._state.shards.items():
            wish = self._choice.wish(shard)
            if wish is not None:
                found[shard_id] = wish
        return found

    def _is_due(self, wishes: Successions) -> bool:
        shards = self._state.shards
        return any(
            shards[shard_id].record != wish or shards[shard_id].unsettled
            for shard_id, wish in wishes.items()
        )

    async def _write(self, wishes: Successions) -> bool:
        changed = [
            shard_id
            for shard_id, wish in wishes.items()
            if self._state.shards[shard_id].record != wish
        ]
        for shard_id in changed:
            shard = self._state.shards[shard_id]
            shard.unsettled.append(wishes[shard_id])
        record = GroupRecord(
            epoch=self._state.epoch,
            coordinator=ProcessId(self._context.own.name),
            write_id=secrets.token_hex(8),
            successions=wishes,
        )
        answer = await self._calls.write(record, self._state.contact.revision)
        if isinstance(answer, Ok):
            self._confirm(wishes, answer.ok_value)
            return True
        await self._note_failure(wishes, changed, answer.err_value)
        return False

    def _confirm(self, wishes: Successions, revision: int) -> None:
        self._state.contact.revision = revision
        self._state.contact.recorded_at = self._state.now()
        changed = 0
        for shard_id, wish in wishes.items():
            shard = self._state.shards[shard_id]
            changed += shard.record != wish
            shard.record = wish
            shard.unsettled.clear()
        self._state.emit(
            RecordWritten(
                group=self._state.group,
                epoch=self._state.epoch,
                changed=changed,
            ),
        )
        self._state.rouse()

    async def _note_failure(
        self,
        wishes: Successions,
        changed: list[ShardId],
        failure: StoreFailure,
    ) -> None:
        if isinstance(failure, Unanswered):
            self._note_unanswered(changed, failure)
            current = await self._calls.read()
            if isinstance(current, Ok):
                self._adopt(current.ok_value)
            return
        # The call had no effect, so its own variants are out of the question.
        for shard_id in changed:
            shard = self._state.shards[shard_id]
            shard.unsettled.remove(wishes[shard_id])
        if isinstance(failure, Conflict):
            self._adopt(failure.current)
            return
        self._state.emit(
            StoreCallFailed(group=self._state.group, detail=str(failure)),
        )

    def _note_unanswered(
        self,
        changed: list[ShardId],
        failure: Unanswered,
    ) -> None:
        if not self._rules.settle_write:
            for shard_id in changed:
                shard = self._state.shards[shard_id]
                shard.unsettled.clear()
        self._state.emit(
            RecordUnsettled(
                group=self._state.group,
                epoch=self._state.epoch,
                changed=len(changed),
                detail=failure.detail,
            ),
        )

    def _adopt(self, current: Versioned | None) -> None:
        """Take over the revision of the record as it stands."""
        if current is None:
            self._state.signals.deposed.set()
            return
        record = decode_group(current.content)
        guarded = self._rules.epoch_guard
        if guarded and record.epoch != self._state.epoch:
            self._state.signals.deposed.set()
            return
        self._state.contact.revision = current.revision
