"""The coordinator of one group."""

from collections.abc import Awaitable, Callable

import trio

from carobwalk.ownership._activation import Activation
from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._coordinator_lease import CoordinatorLease
from carobwalk.ownership._dispatcher_assignments import DispatcherAssignments
from carobwalk.ownership._division import Division
from carobwalk.ownership._divisions import Divisions
from carobwalk.ownership._entry_pushes import EntryPushes
from carobwalk.ownership._epoch_verifier import EpochVerifier
from carobwalk.ownership._events import CoordinatorDeposed, CoordinatorElected
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._host_view import HostView
from carobwalk.ownership._map_rows import MapRows
from carobwalk.ownership._rebalancer import Rebalancer
from carobwalk.ownership._record_writer import RecordWriter
from carobwalk.ownership._server_heartbeats import ServerHeartbeats
from carobwalk.ownership._shard_map_log import ShardMapLog
from carobwalk.ownership._shard_state import ShardState
from carobwalk.ownership._takeover import Takeover


class Coordinator:
    """Grants the shards of a group until another coordinator replaces it.

    Args:
        state: State of the group, initialised from the record of the election.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state
        self._context: OwnershipContext = state.context
        self._hosts: HostView = state.hosts
        self._takeover = Takeover(state)
        self._record_writer = RecordWriter(state)
        self._epoch_verifier = EpochVerifier(state)
        self._activation = Activation(state)
        self._dispatchers = DispatcherAssignments(state)
        self._rows = MapRows(state, self._dispatchers)
        self._map_log = ShardMapLog()
        self._pushes = EntryPushes(state, self._dispatchers, self._map_log)

    async def run(self) -> None:
        """Coordinate the group until a higher epoch is seen."""
        self._state.emit(
            CoordinatorElected(
                group=self._state.group,
                epoch=self._state.epoch,
                shards=len(self._state.shards),
            ),
        )
        async with trio.open_nursery() as nursery:
            for task in self._tasks():
                nursery.start_soon(task)
            await self._state.signals.deposed.wait()
            nursery.cancel_scope.cancel()
        self._state.emit(
            CoordinatorDeposed(
                group=self._state.group,
                epoch=self._state.epoch,
                cause='superseded by a higher epoch',
            ),
        )

    def resign(self) -> None:
        """Ask the candidates at once to elect another coordinator."""
        self._pushes.resigning = True
        self._pushes.trigger()

    def _tasks(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            ServerHeartbeats(self._state).run,
            self._pushes.run,
            self._divide,
            self._record_writer.run,
            self._epoch_verifier.run,
            CoordinatorLease(self._state).run,
            Rebalancer(self._state).run,
            self._decide,
        ]

    async def _decide(self) -> None:
        while True:
            self._state.signals.wake = trio.Event()
            for shard in self._state.shards.values():
                self._decide_shard(shard)
            self._dispatchers.decide()
            if self._map_log.update(self._rows.shards(), self._rows.servers()):
                self._pushes.trigger()
            with trio.move_on_after(self._context.times.decision_interval):
                await self._state.signals.wake.wait()

    def _decide_shard(self, shard: ShardState) -> None:
        if not shard.ready:
            self._takeover.decide(shard)
        if shard.ready:
            self._activation.decide(shard)

    async def _divide(self) -> None:
        divisions = Divisions(self._context, self._hosts)
        known = False
        while True:
            if not known:
                known = await self._read_divisions(divisions)
            for service in divisions.missing(self._state.divisions):
                division = await divisions.make(service)
                if division is not None:
                    self._add(division)
            await trio.sleep(self._context.times.store_retry)

    async def _read_divisions(self, divisions: Divisions) -> bool:
        found = await divisions.read()
        if found is None:
            return False
        for division in found:
            self._add(division)
        return True

    def _add(self, division: Division) -> None:
        self._state.divisions[division.service] = division
        for shard in division.shards_in(self._state.group):
            shard_id = (division.service, shard)
            self._state.shards.setdefault(
                shard_id,
                ShardState(shard_id=shard_id),
            )
        self._state.trigger_decision()
