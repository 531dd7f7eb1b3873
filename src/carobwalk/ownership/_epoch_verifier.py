"""Verification of a coordinator's epoch with the store."""

from typing import Final

import trio
from result import Err, Ok

from carobwalk.ownership._group_record import decode_group
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._record_client import RecordClient
from carobwalk.store import Versioned

WATCH_SECONDS: Final = 30.0


class EpochVerifier:
    """Verifies the epoch by probes and a watch of the group's record.

    While the store answers in time, the coordinator verifies its epoch after
    the grant of a silent owner expired. During an outage of the store it asks
    all servers for autonomy, so that it may activate successors without the
    store.

    Args:
        state: Coordinator's state of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state
        self._times = state.context.times
        self._client = RecordClient(state.context, state.group)
        self._last_revision = state.store_status.revision
        self._probing_since: float | None = None
        self._probe_requested = trio.Event()

    async def run(self) -> None:
        """Probe the store at intervals, and at once when requested."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            nursery.start_soon(self._monitor)
            while True:
                self._probe_requested = trio.Event()
                await self._probe()
                with trio.move_on_after(self._times.store_probe_interval):
                    await self._probe_requested.wait()

    async def _watch(self) -> None:
        """Watch the record; request a probe when the watch fails."""
        while True:
            answer = await self._client.watch(
                self._last_revision, WATCH_SECONDS
            )
            if isinstance(answer, Err):
                self._probe_requested.set()
                await trio.sleep(self._times.store_retry)
                continue
            for record in answer.ok_value:
                self._check_epoch(record)

    async def _monitor(self) -> None:
        """Detect slow probes and expired shards that need a probe."""
        while True:
            since = self._probing_since
            limit = self._times.probe_timeout
            if since is not None and self._state.now() - since > limit:
                self._state.request_autonomy()
            if self._needs_probe():
                self._probe_requested.set()
            await trio.sleep(self._times.decision_interval)

    def _needs_probe(self) -> bool:
        verified_at = self._state.store_status.verified_at
        return any(
            shard.owner is None and shard.expired_at > verified_at
            for shard in self._state.shards.values()
        )

    async def _probe(self) -> None:
        # The read is dated at its start, since the store may have answered as
        # early as that.
        started = self._state.now()
        self._probing_since = started
        answer = await self._client.read()
        self._probing_since = None
        if isinstance(answer, Ok) and answer.ok_value is not None:
            self._check_epoch(answer.ok_value)
            self._confirm(started)
            return
        self._state.request_autonomy()
        await trio.sleep(self._times.decision_interval)

    def _check_epoch(self, record: Versioned) -> None:
        self._last_revision = max(self._last_revision, record.revision)
        is_enforced = self._state.context.rules.epoch_guard
        if not is_enforced or not record.content:
            return
        if decode_group(record.content).epoch > self._state.epoch:
            self._state.signals.deposed.set()

    def _confirm(self, started: float) -> None:
        if self._state.signals.deposed.is_set():
            return
        slow = self._state.now() - started > self._times.probe_timeout
        if not slow:
            self._state.store_status.autonomous = False
        self._state.store_status.verified_at = started
        self._state.trigger_decision()
