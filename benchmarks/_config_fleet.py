"""Processes that follow the configuration, with an in-memory wire."""

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
_NEAR_SECONDS = 0.0005
_DATA_CENTRE_SECONDS = 0.001
_REGION_SECONDS = 0.008


class Wire:
    """Carries questions between processes, with partitions."""

    def __init__(self) -> None:
        self.asks = 0
        self.bytes = 0
        self.cut_regions: set[str] = set()
        self._handlers: dict[tuple[str, Topic], TopicHandler] = {}

    def reaches(self, one: Endpoint, other: Endpoint) -> bool:
        """Return whether two processes can reach each other."""
        if one.region == other.region:
            return True
        return not self.cut_regions & {one.region, other.region}

    def serve(self, name: str, topic: Topic, handler: TopicHandler) -> None:
        """Add the handler of a process."""
        self._handlers[name, topic] = handler

    def remove(self, name: str) -> None:
        """Remove the handlers of a process that ended."""
        gone = [key for key in self._handlers if key[0] == name]
        for key in gone:
            self._handlers.pop(key)

    def find(self, name: str, topic: Topic) -> TopicHandler | None:
        """Return the handler of a process, if it runs."""
        return self._handlers.get((name, topic))


@dataclass(frozen=True, slots=True)
class WirePeers:
    """One process's way to the others, and its registry of topics."""

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
        """Send a payload and wait for the answer."""
        self.wire.asks += 1
        self.wire.bytes += len(payload)
        with trio.move_on_after(timeout):
            await self._travel(peer)
            handler = self.wire.find(peer.name, topic)
            if handler is None:
                detail = 'connection refused'
                return Err(PeerFailure(delivered=False, detail=detail))
            answer = await handler(ProcessId(self.own.name), payload)
            self.wire.bytes += len(answer)
            await self._travel(peer)
            return Ok(answer)
        return Err(PeerFailure(delivered=True, detail='no answer in time'))

    async def _travel(self, peer: Endpoint) -> None:
        if not self.wire.reaches(self.own, peer):
            await trio.sleep_forever()
        await trio.sleep(_one_way(self.own, peer))
        if not self.wire.reaches(self.own, peer):
            await trio.sleep_forever()


def _one_way(one: Endpoint, other: Endpoint) -> float:
    if one.region != other.region:
        return _REGION_SECONDS
    if one.data_centre != other.data_centre:
        return _DATA_CENTRE_SECONDS
    return _NEAR_SECONDS


def make_endpoints(count: int) -> tuple[Endpoint, ...]:
    """Return processes spread over three regions with two centres each."""
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
    """One process: a follower, a repository and a way to the store.

    Args:
        fleet: All processes.
        own: This process.
        store: Its way to the store.
        number: Count of processes started before, as a seed.
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
        self._fleet.note(self, event)

    async def run(self) -> None:
        """Run until the process is stopped."""
        with self.scope:
            await self.follower.run()


class Fleet:
    """All processes, the store and the wire between them.

    Args:
        count: Number of processes.
        seed: Seed of all jitter.
        nursery: Runs the processes.
        note: Receives the events of all processes.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        nursery: trio.Nursery,
        note: Callable[[Process, Event], None],
    ) -> None:
        self.seed = seed
        self.store = MemoryStore()
        self.wire = Wire()
        self.endpoints = make_endpoints(count)
        self.watchers: frozenset[str] = frozenset()
        self.processes: dict[str, Process] = {}
        self.note = note
        self.started = 0
        self.store_faults = StoreFaults()
        self._stopped: list[CallCounts] = []
        self._nursery = nursery

    def start(self, own: Endpoint) -> Process:
        """Start a process, with empty memory."""
        self.started += 1
        process = Process(self, own, self.store.client(), self.started)
        self.processes[own.name] = process
        if own.region in self.wire.cut_regions:
            process.stable_since = float('inf')
        self.apply_store_faults()
        self._nursery.start_soon(process.run)
        return process

    def stop(self, process: Process) -> None:
        """Stop a process without notice."""
        process.scope.cancel()
        for write in process.writes:
            write.cancel()
        self.wire.remove(process.own.name)
        self.processes.pop(process.own.name)
        self._stopped.append(process.store.counts)

    def heal(self) -> None:
        """End all partitions."""
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
        """Put the faults of the store in force at all processes."""
        cut_off = StoreFaults(down=True)
        for process in self.processes.values():
            is_cut = process.own.region in self.wire.cut_regions
            process.store.inject(cut_off if is_cut else self.store_faults)

    def spread_calls(self) -> int:
        """Return the calls of followers to the store, which are watches."""
        return sum(counts.watches for counts in self._store_counts())

    def operator_calls(self) -> int:
        """Return the reads and writes that operators caused."""
        return sum(
            counts.reads + counts.writes for counts in self._store_counts()
        )

    def _store_counts(self) -> list[CallCounts]:
        processes = self.processes.values()
        return [*self._stopped, *(one.store.counts for one in processes)]

    def restart(self, process: Process) -> None:
        """Stop a process and start it again, unless it is cut off.

        Cut off from store and peers, a process with empty memory has no way
        to know what it had in force.
        """
        if process.own.region not in self.wire.cut_regions:
            self.stop(process)
            self.start(process.own)


def any_process(fleet: Fleet, generator: random.Random) -> Process:
    """Return one process."""
    return fleet.processes[generator.choice(sorted(fleet.processes))]
