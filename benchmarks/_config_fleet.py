"""Processes that follow the configuration over an in-memory network."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio
from result import Err, Ok, Result

from carobwalk.events import Event
from carobwalk.model import (
    Address,
    DataCentreName,
    Endpoint,
    ProcessId,
    RegionName,
    TrioClock,
)
from carobwalk.peer import PeerFailure, Topic, TopicHandler
from carobwalk.profiles import (
    ConfigurationFollower,
    ConfigurationRepository,
    FollowerParts,
    WriteSettings,
)
from standins.memory_store import (
    CallCounts,
    MemoryStore,
    MemoryStoreClient,
    StoreFaults,
)

_REGIONS = 3
_DATA_CENTRES = 6
_SAME_DATA_CENTRE_SECONDS = 0.0005
_CROSS_DATA_CENTRE_SECONDS = 0.001
_CROSS_REGION_SECONDS = 0.008


class Wire:
    """In-memory network between the processes, with partitions."""

    def __init__(self) -> None:
        self.asks = 0
        self.bytes = 0
        self.cut_regions: set[str] = set()
        self._handlers: dict[tuple[str, Topic], TopicHandler] = {}

    def can_reach(self, source: Endpoint, other: Endpoint) -> bool:
        """Return whether two processes can reach each other."""
        if source.region == other.region:
            return True
        return not self.cut_regions & {source.region, other.region}

    def serve(self, name: str, topic: Topic, handler: TopicHandler) -> None:
        """Add the handler of a topic at a process."""
        self._handlers[name, topic] = handler

    def remove(self, name: str) -> None:
        """Remove all handlers of a process that has stopped."""
        gone = [key for key in self._handlers if key[0] == name]
        for key in gone:
            self._handlers.pop(key)

    def find(self, name: str, topic: Topic) -> TopicHandler | None:
        """Return the handler of a topic, or ``None`` if the process is down."""
        return self._handlers.get((name, topic))


@dataclass(frozen=True, slots=True)
class WirePeers:
    """Connections of one process to the others, and its topic handlers.

    Args:
        own: Endpoint of the process.
        wire: Network to all processes.
    """

    own: Endpoint
    wire: Wire

    def register(self, topic: Topic, handler: TopicHandler) -> None:
        """Add the handler of a topic."""
        self.wire.serve(self.own.name, topic, handler)

    async def ask(
        self,
        peer: Endpoint,
        topic: Topic,
        payload: bytes,
        timeout: float,
    ) -> Result[bytes, PeerFailure]:
        """Send a payload and wait for the answer until the timeout."""
        self.wire.asks += 1
        self.wire.bytes += len(payload)
        with trio.move_on_after(timeout):
            await self._delay_message(peer)
            handler = self.wire.find(peer.name, topic)
            if handler is None:
                detail = 'connection refused'
                return Err(PeerFailure(delivered=False, detail=detail))
            answer = await handler(ProcessId(self.own.name), payload)
            self.wire.bytes += len(answer)
            await self._delay_message(peer)
            return Ok(answer)
        return Err(PeerFailure(delivered=True, detail='no answer in time'))

    async def _delay_message(self, peer: Endpoint) -> None:
        if not self.wire.can_reach(self.own, peer):
            await trio.sleep_forever()
        await trio.sleep(_one_way_seconds(self.own, peer))
        if not self.wire.can_reach(self.own, peer):
            await trio.sleep_forever()


def _one_way_seconds(source: Endpoint, other: Endpoint) -> float:
    if source.region != other.region:
        return _CROSS_REGION_SECONDS
    if source.data_centre != other.data_centre:
        return _CROSS_DATA_CENTRE_SECONDS
    return _SAME_DATA_CENTRE_SECONDS


def make_endpoints(count: int) -> tuple[Endpoint, ...]:
    """Return endpoints in three regions with two data centres each."""
    return tuple(
        Endpoint(
            f'entry-{number:03d}',
            Address('127.0.0.1', number + 1),
            RegionName(f'region-{number % _REGIONS}'),
            DataCentreName(f'centre-{number % _DATA_CENTRES}'),
        )
        for number in range(count)
    )


class Process:
    """Process with a configuration follower and a repository.

    Args:
        fleet: Fleet that the process belongs to.
        own: Endpoint of the process.
        store: Client of the store.
        number: Number of processes started so far; part of the seed.
    """

    def __init__(
        self,
        fleet: 'Fleet',
        own: Endpoint,
        store: MemoryStoreClient,
        number: int,
    ) -> None:
        self.own = own
        self.store = store
        self.scope = trio.CancelScope()
        self.stable_since = trio.current_time()
        self.writes: list[trio.CancelScope] = []
        peers = WirePeers(own, fleet.wire)
        self._fleet = fleet
        self.follower = ConfigurationFollower(
            FollowerParts(
                own=own,
                store=store,
                peers=peers,
                topics=peers,
                known_peers=lambda: fleet.endpoints,
                is_watcher=lambda: own.name in fleet.watchers,
                clock=TrioClock(),
                events=self,
                generator=random.Random(f'{fleet.seed}-{number}'),
            ),
        )
        self.repository = ConfigurationRepository(
            store,
            trio.current_time,
            random.Random(f'{fleet.seed}-{number}-writer'),
            WriteSettings(known_revision=self.follower.known_revision),
        )

    def emit(self, event: Event) -> None:
        """Pass an event of this process on to the fleet."""
        self._fleet.record_event(self, event)

    async def run(self) -> None:
        """Run until the process is stopped."""
        with self.scope:
            await self.follower.run()


class Fleet:
    """All processes, the store and the network between them.

    Args:
        count: Number of processes.
        seed: Seed of all jitter.
        nursery: Nursery that runs the processes.
        record_event: Receives the events of all processes.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        nursery: trio.Nursery,
        record_event: Callable[[Process, Event], None],
    ) -> None:
        self.seed = seed
        self.store = MemoryStore()
        self.wire = Wire()
        self.endpoints = make_endpoints(count)
        self.watchers: frozenset[str] = frozenset()
        self.processes: dict[str, Process] = {}
        self.record_event = record_event
        self.started = 0
        self.store_faults = StoreFaults()
        self._counts_of_stopped: list[CallCounts] = []
        self._nursery = nursery

    def start(self, own: Endpoint) -> Process:
        """Start a process without any state."""
        self.started += 1
        process = Process(self, own, self.store.client(), self.started)
        self.processes[own.name] = process
        if own.region in self.wire.cut_regions:
            process.stable_since = float('inf')
        self.apply_store_faults()
        self._nursery.start_soon(process.run)
        return process

    def stop(self, process: Process) -> None:
        """Stop a process abruptly."""
        process.scope.cancel()
        for write in process.writes:
            write.cancel()
        self.wire.remove(process.own.name)
        self.processes.pop(process.own.name)
        self._counts_of_stopped.append(process.store.counts)

    def heal(self) -> None:
        """Remove all partitions."""
        now = trio.current_time()
        for process in self.processes.values():
            if process.own.region in self.wire.cut_regions:
                process.stable_since = now
        self.wire.cut_regions.clear()
        self.apply_store_faults()

    def cut(self, region: str) -> None:
        """Cut a region off from the others and from the store."""
        self.wire.cut_regions.add(region)
        for process in self.processes.values():
            if process.own.region == region:
                process.stable_since = float('inf')
        self.apply_store_faults()

    def apply_store_faults(self) -> None:
        """Apply the faults of the store at all processes."""
        cut_off = StoreFaults(down=True)
        for process in self.processes.values():
            is_cut = process.own.region in self.wire.cut_regions
            process.store.inject(cut_off if is_cut else self.store_faults)

    def spread_calls(self) -> int:
        """Return the number of store calls by followers, which are watches."""
        return sum(counts.watches for counts in self._store_counts())

    def operator_calls(self) -> int:
        """Return the number of store reads and writes caused by operators."""
        return sum(
            counts.reads + counts.writes for counts in self._store_counts()
        )

    def _store_counts(self) -> list[CallCounts]:
        processes = self.processes.values()
        return [
            *self._counts_of_stopped,
            *(process.store.counts for process in processes),
        ]

    def restart(self, process: Process) -> None:
        """Stop a process and start it again, unless it is cut off.

        A process that starts cut off from store and peers cannot know which
        configuration it had in force.
        """
        if process.own.region not in self.wire.cut_regions:
            self.stop(process)
            self.start(process.own)


def choose_process(fleet: Fleet, generator: random.Random) -> Process:
    """Return a random process of a fleet."""
    return fleet.processes[generator.choice(sorted(fleet.processes))]
