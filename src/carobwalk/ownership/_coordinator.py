"""The coordinator of one group."""

from collections.abc import Awaitable, Callable

import trio

from carobwalk.ownership._activation import Activation
from carobwalk.ownership._balance import Balance
from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._coordinator_lease import CoordinatorLease
from carobwalk.ownership._dispatch_plan import DispatchPlan
from carobwalk.ownership._division import Division
from carobwalk.ownership._divisions import Divisions
from carobwalk.ownership._entry_pushes import EntryPushes
from carobwalk.ownership._events import CoordinatorDeposed, CoordinatorElected
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._host_view import HostView
from carobwalk.ownership._map_rows import MapRows
from carobwalk.ownership._recorder import Recorder
from carobwalk.ownership._server_heartbeats import ServerHeartbeats
from carobwalk.ownership._shard_map_log import ShardMapLog
from carobwalk.ownership._shard_state import ShardState
from carobwalk.ownership._takeover import Takeover
from carobwalk.ownership._verification import Verification


class Coordinator:
    """Grants the shards of a group until it is deposed.

    Args:
        state: State of the group, as of the election.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state
        self._context: OwnershipContext = state.context
        self._hosts: HostView = state.hosts
        self._takeover = Takeover(state)
        self._recorder = Recorder(state)
        self._verification = Verification(state)
        self._activation = Activation(state)
        self._plan = DispatchPlan(state)
        self._rows = MapRows(state, self._plan)
        self._log = ShardMapLog()
        self._pushes = EntryPushes(state, self._plan, self._log)

    async def run(self) -> None:
        """Coordinate until another process is elected."""
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
                cause='a higher epoch was seen',
            ),
        )

    def resign(self) -> None:
        """Ask the candidates to elect another coordinator."""
        self._pushes.resigning = True
        self._pushes.rouse()

    def _tasks(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            ServerHeartbeats(self._state).run,
            self._pushes.run,
            self._divide,
            self._recorder.run,
            self._verification.run,
            CoordinatorLease(self._state).run,
            Balance(self._state).run,
            self._decide,
        ]

    async def _decide(self) -> None:
        while True:
            self._state.signals.wake = trio.Event()
            for shard in self._state.shards.values():
                self._decide_shard(shard)
            self._plan.decide()
            if self._log.update(self._rows.shards(), self._rows.servers()):
                self._pushes.rouse()
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
        self._state.rouse()
