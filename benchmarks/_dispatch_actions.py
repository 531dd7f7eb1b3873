"""Simulation of money-bearing actions under faults of all processes."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial
from random import Random
from uuid import UUID

import trio
from result import Err, Ok, Result

from benchmarks._dispatch_naive import NaiveForwarder
from benchmarks._dispatch_run import connect, make_catalogue, make_placement
from benchmarks._dispatch_server import ACTION_HEADER, FakeServer, Fault
from benchmarks._dispatch_traffic import Arrival, DiscardingSink, make_call
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
_CACHE_BYTES = 1_048_576
_MEAN_FAULT_INTERVAL_SECONDS = 12
_MEAN_DISPATCHER_SECONDS = 30
_MAX_HANDOVER_SECONDS = 0.3
_MAX_CLOCK_ERROR_SECONDS = 0.4
_MAX_TRIES = 4
_MAX_REPEAT_DELAY_SECONDS = 1.5
_ENTRY_LOSS_PROBABILITY = 0.02
_MAX_LOST_ENTRY_LIFETIME_SECONDS = 0.1
_DEADLINE_GRACE_SECONDS = 0.3
_UUID_TIME_SHIFT = 80
_UUID_VERSION = 7 << 76
_UUID_VARIANT = 2 << 62
_MILLISECONDS_PER_SECOND = 1000


@dataclass
class OneLease:
    """Lease of one dispatcher on one server, until it is revoked.

    Args:
        token: Fencing token of the lease.
        since: Time at which the lease was given, in seconds.
        is_live: Whether the lease has not been revoked.
    """

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
    """Outcomes reported to the callers, compared with runs on the servers.

    Args:
        actions: Actions that callers started.
        tries: Sends by callers, with repeats.
        wrongly_not_run: Refusals as not run although a server ran the action.
        answered_without_run: Answers although no server ran the action.
        overrun: Answers after the deadline and its grace period.
        ends: Final outcomes of the actions, counted by outcome.
    """

    actions: int = 0
    tries: int = 0
    wrongly_not_run: int = 0
    answered_without_run: int = 0
    overrun: int = 0
    ends: Counter[str] = field(default_factory=Counter)


class ActionSimulation:
    """Servers under random faults, their dispatchers and the callers.

    Args:
        seed: Seed of all faults.
        is_naive: Whether entries send directly to the servers, as the baseline.
    """

    def __init__(self, seed: int, *, is_naive: bool) -> None:
        self._random = Random(seed)
        self._servers = [
            _make_server(seed, number) for number in range(SERVERS)
        ]
        self._leases: dict[str, OneLease] = {}
        self._forwarders: dict[str, Forwarder] = {}
        self._sequence = 0
        self._is_naive = is_naive
        self.tally = Tally()

    @property
    def runs_by_action(self) -> Mapping[str, int]:
        """Number of runs of each action, summed over all servers."""
        runs: Counter[str] = Counter()
        for server in self._servers:
            runs.update(server.runs_by_action)
        return runs

    async def run(self, actions: int) -> None:
        """Send actions at random intervals while faults are injected.

        Args:
            actions: Number of actions to send.
        """
        async with trio.open_nursery() as faults:
            for server in self._servers:
                await self._assign_dispatcher(faults, server)
                faults.start_soon(self._inject_faults, server)
                faults.start_soon(self._replace_dispatchers, faults, server)
            await trio.sleep(_MAX_HANDOVER_SECONDS)
            async with trio.open_nursery() as callers:
                for number in range(actions):
                    pause = self._random.expovariate(ACTIONS_PER_SECOND)
                    await trio.sleep(pause)
                    callers.start_soon(self._perform_action, number)
            faults.cancel_scope.cancel()

    async def _assign_dispatcher(
        self,
        nursery: trio.Nursery,
        server: FakeServer,
    ) -> None:
        """Give the lease of a server to a new dispatcher without state."""
        self._sequence += 1
        lease = OneLease(FenceToken(1, self._sequence), trio.current_time())
        self._leases[server.name] = lease
        if self._is_naive:
            self._forwarders[server.name] = NaiveForwarder(lambda _: server)
            return
        context = DispatchContext(
            leases=lease,
            catalogue=make_catalogue(),
            clock=TrioClock(),
            events=NullEventLog(),
            wall_clock=trio.current_time,
            random=self._random,
            cache_bytes=_CACHE_BYTES,
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
            pause = self._random.expovariate(1 / _MEAN_DISPATCHER_SECONDS)
            await trio.sleep(pause)
            self._leases[server.name].is_live = False
            await trio.sleep(self._random.random() * _MAX_HANDOVER_SECONDS)
            await self._assign_dispatcher(nursery, server)

    async def _inject_faults(self, server: FakeServer) -> None:
        while True:
            await trio.sleep(
                self._random.expovariate(1 / _MEAN_FAULT_INTERVAL_SECONDS)
            )
            if self._random.random() < 1 / 2:
                server.crash()
                await trio.sleep(2 * self._random.random())
                server.restart()
            else:
                server.fault = Fault.FROZEN
                await trio.sleep(8 * self._random.random())
                server.thaw()

    async def _perform_action(self, number: int) -> None:
        """Send an action, and repeat it with the same key if needed.

        An action that is complete is also repeated now and then.
        """
        clock_error = self._random.uniform(-1, 1) * _MAX_CLOCK_ERROR_SECONDS
        name = _make_idempotency_key(trio.current_time() + clock_error, number)
        self.tally.actions += 1
        outcome = Outcome.UNKNOWN
        for _ in range(self._random.randrange(1, _MAX_TRIES + 1)):
            outcome = await self._send_once(number, name)
            is_repeated = self._random.random() < 1 / 10
            if outcome is Outcome.COMPLETE and not is_repeated:
                break
            await trio.sleep(self._random.random() * _MAX_REPEAT_DELAY_SECONDS)
        self.tally.ends[outcome.value] += 1

    async def _send_once(self, number: int, name: str) -> Outcome:
        server = self._servers[number % SERVERS]
        arrival = Arrival(number, 0, Rank.MONEY, _WORK_SECONDS, 'caller')
        call = make_call(
            arrival,
            idempotency_key=name,
            extra=((ACTION_HEADER, name.encode()),),
        )
        began_at = trio.current_time()
        self.tally.tries += 1
        # The entry that serves the caller may be lost while it waits.
        with trio.move_on_after(self._entry_lifetime()):
            ending = await self._forwarders[server.name].forward(
                call,
                make_placement(server),
                DiscardingSink(),
            )
            max_seconds = call.head.deadline + _DEADLINE_GRACE_SECONDS
            self.tally.overrun += trio.current_time() - began_at > max_seconds
            return self._record_ending(ending, server.runs_by_action[name])
        return Outcome.UNKNOWN

    def _record_ending(
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

    def _entry_lifetime(self) -> float:
        if self._random.random() < _ENTRY_LOSS_PROBABILITY:
            return self._random.random() * _MAX_LOST_ENTRY_LIFETIME_SECONDS
        return float('inf')


def _make_idempotency_key(at: float, number: int) -> str:
    """Return a UUID version 7 whose timestamp is the given time."""
    milliseconds = int(max(at, 0) * _MILLISECONDS_PER_SECOND)
    time_bits = milliseconds << _UUID_TIME_SHIFT
    return str(UUID(int=time_bits | _UUID_VERSION | _UUID_VARIANT | number))


def _make_server(seed: int, number: int) -> FakeServer:
    return FakeServer(
        name=f'server-{number}',
        early_loss=0.005,
        late_loss=0.005,
        shed=0.01,
        random=Random(f'{seed}-{number}'),
    )
