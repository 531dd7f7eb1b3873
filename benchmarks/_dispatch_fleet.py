"""A few servers with keyed work that callers repeat when it fails."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio
from result import Ok

from benchmarks._dispatch_naive import NaiveForwarder
from benchmarks._dispatch_run import placement_of, pool_of
from benchmarks._dispatch_server import FakeServer, Fault
from benchmarks._dispatch_traffic import SLOTS, Arrival, DropSink, poisson
from carobwalk.dispatch import DispatchPool
from carobwalk.model import Call, Failure, FailureKind, Forwarder, Rank

_SPREAD_SECONDS = 0.005
_REPEAT_SECONDS = 0.5


@dataclass
class Repeats:
    """How requests ended that were repeated a few times.

    Args:
        requests: Requests, without their repeats.
        answered: Requests with a whole answer in the end.
        refusals: Refusals by kind, with all repeats.
    """

    requests: int = 0
    answered: int = 0
    refusals: Counter[FailureKind] = field(default_factory=Counter)


class Fleet:
    """Servers, each with an own entry process as its dispatcher.

    Args:
        count: Number of servers.
        is_naive: Whether entries send directly instead.
    """

    def __init__(self, count: int, *, is_naive: bool) -> None:
        self.servers = [
            FakeServer(name=f'server-{number}', started_at=-60)
            for number in range(count)
        ]
        self.pools: list[DispatchPool] = []
        self._forwarders: list[Forwarder] = []
        for server in self.servers:
            self._add_forwarder(server, is_naive=is_naive)

    @property
    def crashes(self) -> int:
        """Crashes of all servers."""
        return sum(server.crashes for server in self.servers)

    async def spread(self, snapshot: bytes) -> None:
        """Tell all entries what is in quarantine at one of them."""
        await trio.sleep(_SPREAD_SECONDS)
        for pool in self.pools:
            pool.quarantine.merge(snapshot)

    async def send(
        self,
        call: Callable[[], Call],
        owner: int,
        tries: int,
        repeats: Repeats,
    ) -> None:
        """Send a request, and again when it fails.

        The successor of a server that is down has its keys.

        Args:
            call: Makes the request anew for each try.
            owner: Number of the server that owns its key.
            tries: Most sends by the caller.
            repeats: Counts how it ended.
        """
        repeats.requests += 1
        for _ in range(tries):
            ending = await self._forward(call(), owner)
            if ending is None:
                repeats.answered += 1
                return
            repeats.refusals[ending.kind] += 1
            await trio.sleep(_REPEAT_SECONDS)

    async def restart_crashed(self, seconds: float) -> None:
        """Bring each server back some time after it went down."""
        while True:
            await trio.sleep(seconds)
            for server in self.servers:
                if server.fault is Fault.DOWN:
                    server.restart()

    async def _forward(self, call: Call, owner: int) -> Failure | None:
        count = len(self.servers)
        order = [(owner + step) % count for step in range(count)]
        up = (
            number
            for number in order
            if self.servers[number].fault is not Fault.DOWN
        )
        number = next(up, owner)
        ending = await self._forwarders[number].forward(
            call,
            placement_of(self.servers[number]),
            DropSink(),
        )
        return None if isinstance(ending, Ok) else ending.err_value

    def _add_forwarder(self, server: FakeServer, *, is_naive: bool) -> None:
        if is_naive:
            self._forwarders.append(NaiveForwarder(lambda _: server))
            return
        pool = pool_of([server], spread=self.spread)
        self.pools.append(pool)
        self._forwarders.append(pool)


def fleet_traffic(
    random: Random,
    servers: int,
    load: float,
    seconds: float,
) -> list[Arrival]:
    """Return arrivals of all ranks for several servers.

    Args:
        random: Source of the draws.
        servers: Number of servers.
        load: Mean share of all slots that the work needs.
        seconds: Length of the trace.
    """
    arrivals: list[Arrival] = []
    for rank in Rank:
        slots = load * SLOTS * servers / len(Rank)
        arrivals.extend(poisson(random, rank, slots, (0, seconds)))
    return sorted(arrivals, key=lambda each: each.at)
