"""Servers, dispatchers and callers of money-bearing actions under faults."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial
from random import Random
from uuid import UUID

import trio
from result import Err, Ok, Result

from benchmarks._dispatch_naive import NaiveForwarder
from benchmarks._dispatch_run import catalogue_of, connect, placement_of
from benchmarks._dispatch_server import ACTION_HEADER, FakeServer, Fault
from benchmarks._dispatch_traffic import Arrival, DropSink, call_of
from carobwalk.dispatch import DispatchContext, DispatchPool
from carobwalk.events import NullEventLog
from carobwalk.model import (
    Completion,
    Failure,
    FenceToken,
    Forwarder,
    Key,
    Outcome,
    Rank,
    ServerId,
    ServiceName,
    TrioClock,
)
from carobwalk.ownership import NoLease

SERVERS = 8
ACTIONS_PER_SECOND = 250

_WORK_SECONDS = 0.03
_MEMORY_BYTES = 1_048_576
_FAULT_SECONDS = 12
_DISPATCHER_SECONDS = 30
_HANDOVER_SECONDS = 0.3
_CLOCK_ERROR_SECONDS = 0.4
_MOST_TRIES = 4
_REPEAT_SECONDS = 1.5
_ENTRY_LOSS = 0.02
_ENTRY_LOSS_SECONDS = 0.1
_DEADLINE_GRACE_SECONDS = 0.3
_UUID_TIME_SHIFT = 80
_UUID_VERSION = 7 << 76
_UUID_VARIANT = 2 << 62
_MILLISECONDS = 1000


@dataclass
class OneLease:
    """Lease of one dispatcher on one server, until it is taken away."""

    token: FenceToken
    since: float
    is_live: bool = True

    def authorise(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> Result[FenceToken, NoLease]:
        """Return the token while the lease is live."""
        if self.is_live:
            return Ok(self.token)
        return Err(NoLease('another process dispatches'))

    def held_since(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> float:
        """Return when the lease was given."""
        return self.since


@dataclass
class Tally:
    """What the callers were told, against what the servers ran."""

    actions: int = 0
    tries: int = 0
    wrongly_not_run: int = 0
    answered_without_run: int = 0
    overrun: int = 0
    ends: Counter[str] = field(default_factory=Counter)


class World:
    """Servers with faults, and the dispatchers before them.

    Args:
        seed: Seed of all faults.
        is_naive: Whether entries send directly instead.
    """

    def __init__(self, seed: int, *, is_naive: bool) -> None:
        self._random = Random(seed)
        self._servers = [_server(seed, number) for number in range(SERVERS)]
        self._leases: dict[str, OneLease] = {}
        self._forwarders: dict[str, Forwarder] = {}
        self._sequence = 0
        self._is_naive = is_naive
        self.tally = Tally()

    @property
    def runs_by_action(self) -> Mapping[str, int]:
        """Runs of each action, over all servers."""
        runs: Counter[str] = Counter()
        for server in self._servers:
            runs.update(server.runs_by_action)
        return runs

    async def run(self, actions: int) -> None:
        """Let callers send actions while faults happen."""
        async with trio.open_nursery() as faults:
            for server in self._servers:
                await self._take_over(faults, server)
                faults.start_soon(self._spoil, server)
                faults.start_soon(self._replace_dispatchers, faults, server)
            await trio.sleep(_HANDOVER_SECONDS)
            async with trio.open_nursery() as callers:
                for number in range(actions):
                    pause = self._random.expovariate(ACTIONS_PER_SECOND)
                    await trio.sleep(pause)
                    callers.start_soon(self._act, number)
            faults.cancel_scope.cancel()

    async def _take_over(
        self,
        nursery: trio.Nursery,
        server: FakeServer,
    ) -> None:
        """Give the server's lease to a process with an empty memory."""
        self._sequence += 1
        lease = OneLease(FenceToken(1, self._sequence), trio.current_time())
        self._leases[server.name] = lease
        if self._is_naive:
            self._forwarders[server.name] = NaiveForwarder(lambda _: server)
            return
        context = DispatchContext(
            leases=lease,
            catalogue=catalogue_of(),
            clock=TrioClock(),
            events=NullEventLog(),
            wall_clock=trio.current_time,
            random=self._random,
            cache_bytes=_MEMORY_BYTES,
        )
        pool = DispatchPool(context, partial(connect, {server.name: server}))
        await nursery.start(pool.run)
        self._forwarders[server.name] = pool

    async def _replace_dispatchers(
        self,
        nursery: trio.Nursery,
        server: FakeServer,
    ) -> None:
        while True:
            pause = self._random.expovariate(1 / _DISPATCHER_SECONDS)
            await trio.sleep(pause)
            self._leases[server.name].is_live = False
            await trio.sleep(self._random.random() * _HANDOVER_SECONDS)
            await self._take_over(nursery, server)

    async def _spoil(self, server: FakeServer) -> None:
        while True:
            await trio.sleep(self._random.expovariate(1 / _FAULT_SECONDS))
            if self._random.random() < 1 / 2:
                server.crash()
                await trio.sleep(2 * self._random.random())
                server.restart()
            else:
                server.fault = Fault.FROZEN
                await trio.sleep(8 * self._random.random())
                server.thaw()

    async def _act(self, number: int) -> None:
        """Send one action, and again with the same key until it is clear."""
        error = self._random.uniform(-1, 1) * _CLOCK_ERROR_SECONDS
        name = _key_made(trio.current_time() + error, number)
        self.tally.actions += 1
        told = Outcome.UNKNOWN
        for _ in range(self._random.randrange(1, _MOST_TRIES + 1)):
            told = await self._try(number, name)
            is_repeated = self._random.random() < 1 / 10
            if told is Outcome.COMPLETE and not is_repeated:
                break
            await trio.sleep(self._random.random() * _REPEAT_SECONDS)
        self.tally.ends[told.value] += 1

    async def _try(self, number: int, name: str) -> Outcome:
        server = self._servers[number % SERVERS]
        arrival = Arrival(number, 0, Rank.MONEY, _WORK_SECONDS, 'caller')
        call = call_of(
            arrival,
            idempotency_key=name,
            extra=((ACTION_HEADER, name.encode()),),
        )
        began_at = trio.current_time()
        self.tally.tries += 1
        # The entry that has the caller's connection may die meanwhile.
        with trio.move_on_after(self._entry_life()):
            ending = await self._forwarders[server.name].forward(
                call,
                placement_of(server),
                DropSink(),
            )
            most = call.head.deadline + _DEADLINE_GRACE_SECONDS
            self.tally.overrun += trio.current_time() - began_at > most
            return self._check(ending, server.runs_by_action[name])
        return Outcome.UNKNOWN

    def _check(
        self,
        ending: Result[Completion, Failure],
        runs: int,
    ) -> Outcome:
        if isinstance(ending, Ok):
            self.tally.answered_without_run += runs == 0
            return Outcome.COMPLETE
        outcome = ending.err_value.outcome
        if outcome is Outcome.NOT_RUN:
            self.tally.wrongly_not_run += runs > 0
        return outcome

    def _entry_life(self) -> float:
        if self._random.random() < _ENTRY_LOSS:
            return self._random.random() * _ENTRY_LOSS_SECONDS
        return float('inf')


def _key_made(at: float, number: int) -> str:
    """Return a UUID of version 7 made at a time."""
    milliseconds = int(max(at, 0) * _MILLISECONDS)
    time_bits = milliseconds << _UUID_TIME_SHIFT
    return str(UUID(int=time_bits | _UUID_VERSION | _UUID_VARIANT | number))


def _server(seed: int, number: int) -> FakeServer:
    return FakeServer(
        name=f'server-{number}',
        early_loss=0.005,
        late_loss=0.005,
        shed=0.01,
        random=Random(f'{seed}-{number}'),
    )
