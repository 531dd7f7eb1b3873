"""Writer of a group's successions to the store."""

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
from carobwalk.ownership._record_client import RecordClient
from carobwalk.ownership._server_messages import ShardId
from carobwalk.ownership._succession import Succession
from carobwalk.ownership._succession_selector import SuccessionSelector
from carobwalk.store import Conflict, StoreFailure, Unanswered, Versioned

Successions = Mapping[ShardId, Succession]


class RecordWriter:
    """Updates the record in the store to the desired successions.

    The changes of an unanswered write stay unsettled until the store confirms
    a later write: that write raises the revision, so that the earlier one can
    no longer take effect. A read is not enough, since a delayed write may
    still take effect after it.

    Args:
        state: Coordinator's state of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state
        self._selector = SuccessionSelector(state)
        self._client = RecordClient(state.context, state.group)
        self._context = state.context
        self._rules = state.context.rules

    async def run(self) -> None:
        """Write whenever the desired successions differ from the record."""
        times = self._state.context.times
        while True:
            pause = times.decision_interval
            desired = self._desired_successions()
            is_due = self._has_live_server() and self._is_due(desired)
            if is_due and not await self._write(desired):
                pause = times.store_retry
            await trio.sleep(pause)

    def _has_live_server(self) -> bool:
        """Return whether any server reported within the liveness timeout.

        A coordinator that reaches no server leaves the record to the next
        coordinator.
        """
        links = self._state.links.values()
        return any(self._state.is_alive(link) for link in links)

    def _desired_successions(self) -> Successions:
        found = {}
        for shard_id, shard in self._state.shards.items():
            succession = self._selector.desired_succession(shard)
            if succession is not None:
                found[shard_id] = succession
        return found

    def _is_due(self, desired: Successions) -> bool:
        shards = self._state.shards
        return any(
            shards[shard_id].record != succession or shards[shard_id].unsettled
            for shard_id, succession in desired.items()
        )

    async def _write(self, desired: Successions) -> bool:
        changed = [
            shard_id
            for shard_id, succession in desired.items()
            if self._state.shards[shard_id].record != succession
        ]
        for shard_id in changed:
            shard = self._state.shards[shard_id]
            shard.unsettled.append(desired[shard_id])
        record = GroupRecord(
            epoch=self._state.epoch,
            coordinator=ProcessId(self._context.own.name),
            write_id=secrets.token_hex(8),
            successions=desired,
        )
        answer = await self._client.write(
            record, self._state.store_status.revision
        )
        if isinstance(answer, Ok):
            self._confirm(desired, answer.ok_value)
            return True
        await self._handle_failure(desired, changed, answer.err_value)
        return False

    def _confirm(self, desired: Successions, revision: int) -> None:
        self._state.store_status.revision = revision
        self._state.store_status.recorded_at = self._state.now()
        changed = 0
        for shard_id, succession in desired.items():
            shard = self._state.shards[shard_id]
            changed += shard.record != succession
            shard.record = succession
            shard.unsettled.clear()
        self._state.emit(
            RecordWritten(
                group=self._state.group,
                epoch=self._state.epoch,
                changed=changed,
            ),
        )
        self._state.trigger_decision()

    async def _handle_failure(
        self,
        desired: Successions,
        changed: list[ShardId],
        failure: StoreFailure,
    ) -> None:
        if isinstance(failure, Unanswered):
            self._handle_unanswered(changed, failure)
            current = await self._client.read()
            if isinstance(current, Ok):
                self._adopt(current.ok_value)
            return
        # The call had no effect, so its successions are not unsettled.
        for shard_id in changed:
            shard = self._state.shards[shard_id]
            shard.unsettled.remove(desired[shard_id])
        if isinstance(failure, Conflict):
            self._adopt(failure.current)
            return
        self._state.emit(
            StoreCallFailed(group=self._state.group, detail=str(failure)),
        )

    def _handle_unanswered(
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
        """Continue from the current record, or step down.

        The coordinator is deposed if the record is missing or is of another
        epoch.
        """
        if current is None:
            self._state.signals.deposed.set()
            return
        record = decode_group(current.content)
        is_enforced = self._rules.epoch_guard
        if is_enforced and record.epoch != self._state.epoch:
            self._state.signals.deposed.set()
            return
        self._state.store_status.revision = current.revision
