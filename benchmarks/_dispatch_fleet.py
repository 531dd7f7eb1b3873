"""Fleet of fake servers with keyed requests that callers repeat on failure."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio
from result import Ok

from benchmarks._dispatch_naive import NaiveForwarder
from benchmarks._dispatch_run import make_placement, make_pool
from benchmarks._dispatch_server import FakeServer, Fault
from benchmarks._dispatch_traffic import (
    SLOTS,
    Arrival,
    DiscardingSink,
    poisson_arrivals,
)
from carobwalk.dispatch import DispatchPool
from carobwalk.model import Call, Failure, FailureKind, Forwarder, Rank

_BROADCAST_SECONDS = 0.005
_REPEAT_INTERVAL_SECONDS = 0.5


@dataclass
class Repeats:
    """Outcomes of requests that callers repeat on failure.

    Args:
        requests: Number of requests, not counting repeats.
        answered: Number of requests that got a complete answer at last.
        refusals: Number of failed sends by kind, counting repeats.
    """

    requests: int = 0
    answered: int = 0
    refusals: Counter[FailureKind] = field(default_factory=Counter)


class Fleet:
    """Servers, each with its own entry process as dispatcher.

    Args:
        count: Number of servers.
        is_naive: Whether entries send directly to the servers, as the baseline.
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
        """Total number of crashes of all servers."""
        return sum(server.crashes for server in self.servers)

    async def broadcast(self, snapshot: bytes) -> None:
        """Send the quarantine of one entry to all entries.

        Args:
            snapshot: Encoded quarantine.
        """
        await trio.sleep(_BROADCAST_SECONDS)
        for pool in self.pools:
            pool.quarantine.merge(snapshot)

    async def send(
        self,
        call: Callable[[], Call],
        owner: int,
        tries: int,
        repeats: Repeats,
    ) -> None:
        """Send a request and repeat it when it fails.

        The keys of a server that is down belong to the next server that is up.

        Args:
            call: Creates the request for each try.
            owner: Number of the server that owns its key.
            tries: Maximum number of sends by the caller.
            repeats: Receives the counts of outcomes.
        """
        repeats.requests += 1
        for _ in range(tries):
            ending = await self._forward(call(), owner)
            if ending is None:
                repeats.answered += 1
                return
            repeats.refusals[ending.kind] += 1
            await trio.sleep(_REPEAT_INTERVAL_SECONDS)

    async def restart_crashed(self, seconds: float) -> None:
        """Restart crashed servers at a fixed interval.

        Args:
            seconds: Interval between the checks.
        """
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
            make_placement(self.servers[number]),
            DiscardingSink(),
        )
        return None if isinstance(ending, Ok) else ending.err_value

    def _add_forwarder(self, server: FakeServer, *, is_naive: bool) -> None:
        if is_naive:
            self._forwarders.append(NaiveForwarder(lambda _: server))
            return
        pool = make_pool([server], broadcast=self.broadcast)
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
        load: Mean share of all slots that the work occupies.
        seconds: Length of the trace.
    """
    arrivals: list[Arrival] = []
    for rank in Rank:
        slots = load * SLOTS * servers / len(Rank)
        arrivals.extend(poisson_arrivals(random, rank, slots, (0, seconds)))
    return sorted(arrivals, key=lambda each: each.at)
