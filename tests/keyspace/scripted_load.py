"""Scripted load: many processes that each send a given server little.

Servers are queues before slots; the processes decide with the modules of the
product. There is no network, and time passes in one task.
"""

import heapq
import math
import random
import time
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import count

import msgspec
import trio
from trio.testing import MockClock

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.events import NullEventLog
from carobwalk.gateway import (
    CallerRequest,
    CandidateServers,
    CrashTracker,
    LoadTable,
    Locality,
    SampledChoice,
    ServerCost,
    UnkeyedChooser,
)
from carobwalk.http import AnswerMemory, AnswerShare
from carobwalk.keyspace import FleetLoad, LoadCollector, LocalLoad
from carobwalk.keyspace._load_report import LoadReceipt
from carobwalk.keyspace._load_reporter import LoadReporter
from carobwalk.model import DataCentreName, ProcessId, RegionName, TrioClock
from carobwalk.shares import ProcessShare
from tests.keyspace.simulated_fleet import SERVICE, make_server
from tests.routing.test_routing import make_route

PROCESSES = 90
SERVERS = 80
SLOTS = 6
WORK_SECONDS = 0.382
TARGET_SECONDS = 1.221
REQUESTS_PER_SECOND = 546
REPORT_SECONDS = 0.25
# Time until a report has arrived and its receipt is back.
ROUND_TRIP_SECONDS = 0.03
WARM_UP_SECONDS = 5


def usual_rate(now: float) -> float:
    """Return the requests a second of a calm load."""
    return REQUESTS_PER_SECOND


class NoKeys:
    """Counts of keys of a service without keys."""

    def pop_counts(self) -> dict:
        """Return no counts."""
        return {}


@dataclass
class Server:
    """Backend server: slots, and a queue before them."""

    registered: BackendServer
    speed: float
    running: int = 0
    served: int = 0
    busy_seconds: float = 0
    queue: deque = field(default_factory=deque)
    # Factor on the work of requests that start at a time.
    slowness: Callable[[float], float] = lambda now: 1
    # Part that the work takes longer while all slots are busy.
    crowding: float = 0

    @property
    def in_flight(self) -> int:
        """Requests running or queued."""
        return self.running + len(self.queue)

    def duration(self, work: float, now: float) -> float:
        """Return how long work takes that starts now."""
        crowded = 1 + self.crowding * self.running / self.registered.slots
        return work / self.speed * self.slowness(now) * crowded


class Process:
    """Process with its own knowledge, and what it reports."""

    def __init__(self, scene: 'Scene', number: int) -> None:
        self.name = ProcessId(f'p{number}')
        centre = scene.data_centres[number % len(scene.data_centres)]
        self.data_centre = centre
        share = ProcessShare()
        self.local = LocalLoad(
            loads=LoadTable(scene.directory, share),
            share=share,
            leaving=scene.directory.leaving,
            crash_tracker=CrashTracker(),
            events=NullEventLog(),
            is_shared=True,
        )
        locality = Locality(centre, scene.regions)
        cost = ServerCost(self.local.loads, locality)
        self.sampled = SampledChoice(
            self.local.loads.shared, cost, locality, lambda *_: False
        )
        candidates = CandidateServers(
            scene.directory, self.local.loads.warmups.is_cold
        )
        loads = self.local.loads
        self.previous = UnkeyedChooser(candidates, loads, cost)
        self.new = UnkeyedChooser(candidates, loads, cost, self.sampled)
        self.reporter = LoadReporter(None, None, NoKeys(), self.local)


@dataclass
class Outcome:
    """Figures of a run after its warm-up."""

    latencies: list[float] = field(default_factory=list)
    sent: Counter = field(default_factory=Counter)
    remote: int = 0
    busy_seconds: float = 0
    report_bytes: int = 0
    receipt_bytes: int = 0
    coordinator_seconds: float = 0

    def quantile(self, share: float) -> float:
        """Return the latency that a share of the requests doesn't exceed."""
        ordered = sorted(self.latencies)
        return ordered[min(int(len(ordered) * share), len(ordered) - 1)]

    @property
    def late(self) -> float:
        """Share of the responses after the target."""
        late = sum(1 for seconds in self.latencies if seconds > TARGET_SECONDS)
        return late / len(self.latencies)

    def line(self, name: str) -> str:
        """Return the figures as a line to print."""
        return (
            f'{name:12} p50 {self.quantile(0.5):.3f} '
            f'p99 {self.quantile(0.99):.3f} late {self.late:.4f} '
            f'busy {self.busy_seconds:.0f}'
        )


Choose = Callable[['Scene', Process, CallerRequest], Awaitable[Server]]


class Scene:
    """Servers, processes and the events of a run."""

    def __init__(
        self,
        clock: MockClock,
        seed: int,
        *,
        processes: int = PROCESSES,
        servers: int = SERVERS,
        data_centres: int = 1,
    ) -> None:
        self.clock = clock
        random.seed(seed)
        self.random = random.Random(seed)
        self.data_centres = [
            DataCentreName(f'dc{number}') for number in range(data_centres)
        ]
        self.regions = {
            centre: RegionName(f'r{number // 2}')
            for number, centre in enumerate(self.data_centres)
        }
        self.directory = ServerDirectory(TrioClock(), NullEventLog())
        self.servers: dict[str, Server] = {}
        for number in range(servers):
            self.add_server(number, self.random.uniform(0.55, 1.6))
        self.collector = self.new_coordinator()
        self.processes = [Process(self, number) for number in range(processes)]
        # Processes that callers send to.
        self.entries = self.processes
        self.outcome = Outcome()
        self.samples: list[tuple[float, dict[str, int]]] = []
        self.loses_receipts = False
        self.route = replace(make_route('/'), target_latency=TARGET_SECONDS)
        self._numbers = count()
        self._events: list = []

    def add_server(self, number: int, speed: float, born: int = 1) -> None:
        """Register a server, or a new incarnation of one."""
        centre = self.data_centres[number % len(self.data_centres)]
        registered = replace(
            make_server(number, born), slots=SLOTS, data_centre=centre
        )
        self.directory.put(registered, born)
        self.servers[registered.id] = Server(registered, speed)

    def new_coordinator(self) -> LoadCollector:
        """Return a coordinator that knows nothing yet."""
        clock = TrioClock()
        fleet = FleetLoad(clock, self.directory.all_servers, NullEventLog())
        collector = LoadCollector(clock, 10, fleet=fleet)
        collector.is_coordinator = True
        return collector

    def at(self, when: float, run: Callable[[], object]) -> None:
        """Run something at a time from the start."""
        heapq.heappush(self._events, (when, next(self._numbers), run))

    async def run(
        self,
        choose: Choose,
        seconds: float,
        rate: Callable[[float], float] = usual_rate,
    ) -> Outcome:
        """Run for some seconds and return the figures."""
        for process in self.processes:
            phase = self.random.uniform(0, REPORT_SECONDS)
            self.at(phase, self._reporting(process))
        self.at(0, self._arriving(choose, rate))
        while self._events:
            when, _, run = heapq.heappop(self._events)
            if when > seconds:
                break
            self.clock.jump(max(when - self.now(), 0))
            pending = run()
            if pending is not None:
                await pending
        return self.outcome

    def now(self) -> float:
        """Return the time of the scene."""
        return trio.current_time()

    def _reporting(self, process: Process) -> Callable[[], Awaitable[None]]:
        async def report() -> None:
            if process in self.processes:
                self._in(REPORT_SECONDS + ROUND_TRIP_SECONDS, report)
                await self._exchange(process)

        return report

    async def _exchange(self, process: Process) -> None:
        payload = msgspec.msgpack.encode(process.reporter._collect_report(()))
        began = time.thread_time()
        answered = await self.collector.answer(process.name, payload)
        self.outcome.coordinator_seconds += time.thread_time() - began
        self.outcome.report_bytes += len(payload)
        self.outcome.receipt_bytes += len(answered)
        receipt = msgspec.msgpack.decode(answered, type=LoadReceipt)
        if not self.loses_receipts:
            self._in(ROUND_TRIP_SECONDS, lambda: process.local.apply(receipt))

    def _arriving(self, choose: Choose, rate) -> Callable[[], Awaitable[None]]:
        async def arrive() -> None:
            self._in(self.random.expovariate(rate(self.now())), arrive)
            process = self.random.choice(self.entries)
            work = self.random.gammavariate(4, WORK_SECONDS / 4)
            request = self._request()
            server = await choose(self, process, request)
            self._send(process, server, work)

        return arrive

    def _request(self) -> CallerRequest:
        now = self.now()
        return CallerRequest(
            id=b'x',
            caller='127.0.0.1',
            method=b'GET',
            target=b'/',
            headers=(),
            body=b'',
            route=self.route,
            key=None,
            arrived=now,
            deadline=now + 30,
            answer_share=AnswerShare(AnswerMemory(1_000_000)),
        )

    def _send(self, process: Process, server: Server, work: float) -> None:
        server.queue.append((process, work, self.now()))
        if self.now() > WARM_UP_SECONDS:
            self.outcome.sent[server.registered.id] += 1
            home = server.registered.data_centre == process.data_centre
            self.outcome.remote += not home
        self._start_next(server)

    def _start_next(self, server: Server) -> None:
        while server.queue and server.running < server.registered.slots:
            process, work, sent_at = server.queue.popleft()
            duration = server.duration(work, self.now())
            server.running += 1
            self._in(duration, self._ending(server, process, sent_at, duration))

    def _ending(self, server, process, sent_at, duration):
        def end() -> None:
            now = self.now()
            server.running -= 1
            server.served += 1
            process.local.loads.finish(server.registered)
            process.local.loads.record_answer(
                server.registered, now, now - sent_at
            )
            if sent_at > WARM_UP_SECONDS:
                self.outcome.latencies.append(now - sent_at)
                self.outcome.busy_seconds += duration
            self._start_next(server)

        return end

    def _in(self, seconds: float, run: Callable[[], object]) -> None:
        self.at(self.now() + seconds, run)


async def choose_new(scene: Scene, process: Process, request) -> Server:
    """Choose with the digest."""
    chosen = await process.new.choose(SERVICE, request, frozenset())
    return scene.servers[chosen.server.id]


async def choose_previous(scene: Scene, process: Process, request) -> Server:
    """Choose by what the process observes itself."""
    chosen = await process.previous.choose(SERVICE, request, frozenset())
    return scene.servers[chosen.server.id]


async def choose_of_two(scene: Scene, process: Process, request) -> Server:
    """Choose the one of two random servers with fewer own requests."""
    pair = random.sample(list(scene.servers.values()), 2)
    loads = process.local.loads
    server = min(pair, key=lambda one: loads.of(one.registered).in_flight)
    loads.start(server.registered)
    return server


async def choose_perfect(scene: Scene, process: Process, request) -> Server:
    """Choose the least expected time by the true state of all servers."""
    now = scene.now()

    def expected(server: Server) -> float:
        work = WORK_SECONDS / server.speed * server.slowness(now)
        return work * max(1, (server.in_flight + 1) / SLOTS)

    server = min(scene.servers.values(), key=expected)
    process.local.loads.start(server.registered)
    return server


def noisy_periods(seed: int, seconds: float) -> Callable[[float], float]:
    """Return slowness that is 3 for periods of 0.4 s, a fifth of the time."""
    source = random.Random(seed)
    periods = range(math.ceil(seconds / 0.4))
    noisy = [source.randrange(5) == 0 for _ in periods]
    return lambda now: 3 if noisy[min(int(now / 0.4), len(noisy) - 1)] else 1


def mean(values: Iterable[float]) -> float:
    """Return the mean of some values."""
    listed = list(values)
    return sum(listed) / len(listed)
