"""Many processes that send to servers of which some are cold.

The choosers, load reports, receipts and planning are the real ones; requests
are counted instead of sent.
"""

import random
from collections import defaultdict
from dataclasses import dataclass, replace
from itertools import cycle
from typing import Final

import msgspec
import trio
from trio._core import _run as trio_run

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.events import NullEventLog
from carobwalk.gateway import (
    CallerRequest,
    CandidateServers,
    CrashTracker,
    KeyedChooser,
    LoadTable,
    Locality,
    NoTarget,
    ServerCost,
    Target,
    UnkeyedChooser,
)
from carobwalk.http import AnswerMemory, AnswerShare
from carobwalk.keyspace import (
    KeyOwnerTable,
    LoadCollector,
    LocalLoad,
    WarmupAllowances,
    WarmupSource,
)
from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import MAX_KEY
from carobwalk.keyspace._load_report import LoadReceipt
from carobwalk.keyspace._load_reporter import LoadReporter
from carobwalk.keyspace._planner import Planner, PlannerView
from carobwalk.model import (
    DataCentreName,
    ProcessId,
    RegionName,
    ServerId,
    TrioClock,
)
from carobwalk.shares import ProcessShare, WarmupBounds
from tests.keyspace.simulated_fleet import SERVICE, make_server
from tests.keyspace.test_planner import apply, divide
from tests.routing.test_routing import make_route

WARMUP_RATE: Final = 3.7
BOUND: Final = WARMUP_RATE * 1.5 + 8
LOCAL: Final = DataCentreName('dc1')
STEP_SECONDS: Final = 0.01
REPORT_STEPS: Final = 25
PLAN_STEPS: Final = 10
HEARTBEAT_SECONDS: Final = 0.9
SERVICE_SECONDS: Final = 0.4
DEADLINE_SECONDS: Final = 4.0


class _Reader:
    """Key map that all processes share."""

    def __init__(self) -> None:
        self.key_map = KeyMap(())
        self.changed = trio.Event()

    def map_of(self, service: str) -> KeyMap:
        return self.key_map


class Process:
    """One process of the fleet.

    Args:
        number: Number of the process.
        weight: Its part of the traffic in relation to other processes.
        reader: Key map.
    """

    def __init__(self, number: int, weight: float, reader: _Reader) -> None:
        self.id = ProcessId(f'p{number}')
        self.weight = weight
        self.is_connected = True
        self.directory = ServerDirectory(TrioClock(), NullEventLog())
        share = ProcessShare()
        self.loads = LoadTable(self.directory, share, lambda service: True)
        self.local = LocalLoad(
            loads=self.loads,
            share=share,
            leaving=self.directory.leaving,
            crash_tracker=CrashTracker(),
            events=NullEventLog(),
        )
        self.owners = KeyOwnerTable(reader, self.directory)  # type: ignore[arg-type]
        self.reporter = LoadReporter(
            None,  # type: ignore[arg-type]
            reader,  # type: ignore[arg-type]
            self.owners,
            self.local,
        )
        candidates = CandidateServers(
            self.directory, self.loads.warmups.is_cold
        )
        self.keyed = KeyedChooser(self.owners, self.loads, candidates)
        locality = Locality(LOCAL, {LOCAL: RegionName('r1')})
        self.unkeyed = UnkeyedChooser(
            candidates,
            self.loads,
            ServerCost(self.loads, locality),
        )

    async def choose(
        self, request: CallerRequest, key: int | None
    ) -> Target | NoTarget:
        """Return the server for a request, as the forwarder does."""
        self.loads.demand.count(SERVICE)
        if key is None:
            return await self.unkeyed.choose(SERVICE, request, frozenset())
        self.owners.count(SERVICE, key)
        return await self.keyed.choose(SERVICE, request, key)


class Coordinator:
    """Aggregates reports and plans keys for one term.

    Args:
        directory: Registered servers as the coordinator knows them.
        reader: Key map to plan.
        is_keyed: Whether keys have owners.
    """

    def __init__(
        self, directory: ServerDirectory, reader: _Reader, *, is_keyed: bool
    ) -> None:
        self._directory = directory
        self._reader = reader
        self._is_keyed = is_keyed
        self._started_at = trio.current_time()
        clock = TrioClock()
        source = WarmupSource(
            directory=directory,
            rate_of=lambda service: WARMUP_RATE,
            bounds=WarmupBounds(1.5, 8),
        )
        self.collector = LoadCollector(
            clock, warmups=WarmupAllowances(clock, source)
        )
        self.collector.is_coordinator = True
        self.collector.warmups.start_term(lambda: True)
        self.may_move = False

    def plan(self) -> None:
        """Plan as the coordinator of a service does at each tick."""
        if not self._is_keyed:
            return
        now = trio.current_time()
        load = self.collector.loads.of(SERVICE)
        servers = self._directory.of_service(SERVICE)
        load.refresh(now, len(servers))
        demand = self.collector.demands.of(SERVICE)
        demand.refresh(now)
        warmups = self.collector.warmups
        warmups.record_keys(SERVICE, self._reader.key_map, (load, demand))
        if self.may_move and now - self._started_at > 2:
            self._move(servers, load)

    def _move(self, servers: list[BackendServer], load: KeyLoad) -> None:
        warmups = self.collector.warmups
        usable = {
            server.incarnation: warmups.capacity(
                server, server.slots / SERVICE_SECONDS
            )
            for server in servers
        }
        soon_warm = frozenset(filter(warmups.is_soon_warm, usable))
        view = PlannerView(
            key_map=self._reader.key_map,
            usable=usable,
            movable=frozenset(usable) - soon_warm,
            leaving=frozenset(),
            load=load,
            unanswering=soon_warm,
        )
        moves = Planner(view).plan()
        self._reader.key_map = apply(self._reader.key_map, moves)


@dataclass
class Outcomes:
    """What became of the requests.

    Args:
        refused: Refusals and their times.
        sends_by_server: Times at which each server was sent a request.
    """

    refused: list[tuple[float, NoTarget]]
    sends_by_server: dict[ServerId, list[float]]

    def most_in_a_second(self, server: str, since: float = 0) -> int:
        """Return the most requests that a server got in any one second."""
        times = [
            time
            for time in self.sends_by_server[ServerId(server)]
            if time >= since
        ]
        most = 0
        first = 0
        for last, time in enumerate(times):
            while times[first] <= time - 1:
                first += 1
            most = max(most, last - first + 1)
        return most

    def rate(self, server: str, since: float, until: float) -> float:
        """Return the mean requests per second that a server got."""
        times = self.sends_by_server[ServerId(server)]
        counted = sum(since <= time < until for time in times)
        return counted / (until - since)


class WarmupFleet:
    """Processes, servers and a coordinator, driven in steps of 10 ms.

    Args:
        seed: Seed of traffic and draws.
        processes: Number of processes.
        servers: Number of servers.
        rate: Requests per second of all processes.
        is_keyed: Whether keys have owners.
    """

    def __init__(
        self,
        seed: int,
        processes: int,
        servers: int,
        rate: float,
        *,
        is_keyed: bool = False,
    ) -> None:
        random.seed(seed)
        # Trio shuffles the tasks that are ready; without this seed, the draws
        # would meet other requests in each run.
        trio_run._r.seed(seed)
        self.random = random.Random(seed)
        self.rate = rate
        self.is_keyed = is_keyed
        self.reader = _Reader()
        # Thin and uneven: the busiest processes get many times the median.
        self.processes = [
            Process(number, self.random.expovariate(1) ** 1.5, self.reader)
            for number in range(processes)
        ]
        self.servers = [make_server(number) for number in range(servers)]
        for process in self.processes:
            for server in self.servers:
                process.directory.put(server, 1)
        if is_keyed:
            incarnations = [server.incarnation for server in self.servers]
            self.reader.key_map = divide(incarnations)
        self.outcomes = Outcomes([], defaultdict(list))
        self.coordinator: Coordinator | None = None
        self.warm_at: dict[int, float] = {}
        self._revision = 1
        self._next_at = trio.current_time()
        self._steps = cycle(range(REPORT_STEPS * PLAN_STEPS))
        self.start_coordinator(0)

    def start_coordinator(self, number: int) -> Coordinator:
        """Let a process coordinate from now on."""
        self.coordinator = Coordinator(
            self.processes[number].directory,
            self.reader,
            is_keyed=self.is_keyed,
        )
        return self.coordinator

    async def turn_cold(
        self, nursery: trio.Nursery, number: int, seconds: float
    ) -> None:
        """Let a server be cold; all processes have its entry on return."""
        self.warm_at[number] = trio.current_time() + seconds
        nursery.start_soon(self._rewrite_entry, number)

    async def run(self, seconds: float) -> None:
        """Send requests and reports for some time."""
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                await self._step(nursery)
            nursery.cancel_scope.cancel()

    async def _rewrite_entry(self, number: int) -> None:
        """Rewrite the entry of a cold server at each heartbeat."""
        while trio.current_time() < self.warm_at[number]:
            left = self.warm_at[number] - trio.current_time()
            self._revision += 1
            server = replace(self.servers[number], warmup_left=left)
            for process in self.processes:
                process.directory.put(server, self._revision)
            await trio.sleep(HEARTBEAT_SECONDS)

    async def _step(self, nursery: trio.Nursery) -> None:
        step = next(self._steps)
        for number, process in enumerate(self.processes):
            if number % REPORT_STEPS == step % REPORT_STEPS:
                await self._report(process)
        if self.coordinator and step % PLAN_STEPS == 0:
            self.coordinator.plan()
        while self._next_at <= trio.current_time():
            self._next_at += self.random.expovariate(self.rate)
            process = self.random.choices(
                self.processes, [process.weight for process in self.processes]
            )[0]
            nursery.start_soon(self._request, process)
        await trio.sleep(STEP_SECONDS)

    async def _report(self, process: Process) -> None:
        report = process.reporter._collect_report(())
        if self.coordinator is None or not process.is_connected:
            return
        answer = await self.coordinator.collector.answer(
            process.id, msgspec.msgpack.encode(report)
        )
        receipt = msgspec.msgpack.decode(answer, type=LoadReceipt)
        process.local.apply(receipt)

    async def _request(self, process: Process) -> None:
        now = trio.current_time()
        request = CallerRequest(
            id=b'x',
            caller='127.0.0.1',
            method=b'GET',
            target=b'/',
            headers=(),
            body=b'',
            route=make_route('/', target_latency=1.5),
            key=None,
            arrived=now,
            deadline=now + DEADLINE_SECONDS,
            answer_share=AnswerShare(AnswerMemory(1_000_000)),
            draw=self.random.random(),
        )
        key = self.random.randrange(MAX_KEY + 1) if self.is_keyed else None
        target = await process.choose(request, key)
        sent_at = trio.current_time()
        if isinstance(target, NoTarget):
            self.outcomes.refused.append((sent_at, target))
            return
        self.outcomes.sends_by_server[target.server.id].append(sent_at)
        await trio.sleep(SERVICE_SECONDS)
        process.loads.finish(target.server)
        process.loads.record_answer(
            target.server, trio.current_time(), SERVICE_SECONDS
        )
