"""Checks with the store that a coordinator's epoch is in force."""

from typing import Final

import trio
from result import Err, Ok

from carobwalk.ownership._group_record import decode_group
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._record_calls import RecordCalls
from carobwalk.store import Versioned

WATCH_SECONDS: Final = 30.0


class Verification:
    """Reads the record after lapses, and watches it to notice an outage.

    While the store answers in time the coordinator is not autonomous: it
    checks its epoch after the lapse of a silent owner. While the store does
    not, the coordinator asks all servers for autonomy.

    Args:
        state: State of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state
        self._times = state.context.times
        self._calls = RecordCalls(state.context, state.group)
        self._seen = state.contact.revision
        self._probing_since: float | None = None
        self._wanted = trio.Event()

    async def run(self) -> None:
        """Probe the store at intervals, and at once where that is needed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            nursery.start_soon(self._notice)
            while True:
                self._wanted = trio.Event()
                await self._probe()
                with trio.move_on_after(self._times.store_probe):
                    await self._wanted.wait()

    async def _watch(self) -> None:
        """Wait for changes; a watch that breaks off asks for a probe."""
        while True:
            answer = await self._calls.watch(self._seen, WATCH_SECONDS)
            if isinstance(answer, Err):
                self._wanted.set()
                await trio.sleep(self._times.store_retry)
                continue
            for record in answer.ok_value:
                self._note(record)

    async def _notice(self) -> None:
        """Notice slow probes and lapsed shards."""
        while True:
            since = self._probing_since
            limit = self._times.probe_timeout
            if since is not None and self._state.now() - since > limit:
                self._state.become_autonomous()
            if self._is_wanted():
                self._wanted.set()
            await trio.sleep(self._times.decision_interval)

    def _is_wanted(self) -> bool:
        verified_at = self._state.contact.verified_at
        return any(
            shard.owner is None and shard.lapsed_at > verified_at
            for shard in self._state.shards.values()
        )

    async def _probe(self) -> None:
        # The reading counts from its start: the store may have answered then.
        started = self._state.now()
        self._probing_since = started
        answer = await self._calls.read()
        self._probing_since = None
        if isinstance(answer, Ok) and answer.ok_value is not None:
            self._note(answer.ok_value)
            self._confirm(started)
            return
        self._state.become_autonomous()
        await trio.sleep(self._times.decision_interval)

    def _note(self, record: Versioned) -> None:
        self._seen = max(self._seen, record.revision)
        guarded = self._state.context.rules.epoch_guard
        if not guarded or not record.content:
            return
        if decode_group(record.content).epoch > self._state.epoch:
            self._state.signals.deposed.set()

    def _confirm(self, started: float) -> None:
        if self._state.signals.deposed.is_set():
            return
        slow = self._state.now() - started > self._times.probe_timeout
        if not slow:
            self._state.contact.autonomous = False
        self._state.contact.verified_at = started
        self._state.rouse()
