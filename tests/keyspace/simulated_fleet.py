"""In-memory fleet that runs coordinators against stand-ins."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import trio
from result import Err, Ok, Result

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.events import NullEventLog
from carobwalk.keyspace import (
    CoordinatorDependencies,
    CoordinatorRole,
    FailureDetector,
    KeyReader,
    KeyTimes,
    LoadCollector,
    MapFeed,
    OrderDependencies,
    RoleDependencies,
    ServerIncarnations,
    Succession,
)
from carobwalk.keyspace._coordinator_codec import COORDINATOR_NAME
from carobwalk.model import (
    Address,
    DataCentreName,
    Endpoint,
    ProcessId,
    RegionName,
    ServerId,
    ServiceName,
    TrioClock,
)
from carobwalk.peer import PeerFailure, Topic, TopicHandler
from carobwalk.store import (
    RecordFollower,
    StoreFailure,
    Unavailable,
)
from standins.platform import KeyHolder, KvStore, MemoryOrderChannel
from tests.recording_log import RecordingLog

SERVICE = ServiceName('registry')
SAMPLE_KEYS = (0, 1000, 20_000, 40_000, 65_535)


def make_server(number: int, born: int = 1) -> BackendServer:
    """Return a registered backend server."""
    return BackendServer(
        id=ServerId(f's{number}'),
        born=born,
        service=SERVICE,
        address=Address('127.0.0.1', 1000 + number),
        data_centre=DataCentreName('dc1'),
        slots=4,
        is_leaving=False,
    )


def make_endpoint(name: str) -> Endpoint:
    """Return the endpoint of a process."""
    return Endpoint(
        name,
        Address('127.0.0.1', 1),
        RegionName('r'),
        DataCentreName('dc1'),
    )


class StoreLink:
    """Connection of a process to the store, which can be cut."""

    def __init__(self, store: KvStore) -> None:
        self.is_cut = False
        self._store = store

    def __getattr__(self, name: str) -> Callable[..., object]:
        async def call(*arguments: object) -> Result[object, StoreFailure]:
            if self.is_cut:
                await trio.sleep(0.05)
                return Err(Unavailable('cut'))
            return await getattr(self._store, name)(*arguments)

        return call


class PeerLinks:
    """In-memory connections between processes.

    A process that is not listed is unreachable.
    """

    def __init__(self) -> None:
        self.answers_by_name: dict[str, TopicHandler] = {}

    async def ask(
        self,
        peer: Endpoint,
        topic: Topic,
        payload: bytes,
        timeout: float,
    ) -> Result[bytes, PeerFailure]:
        """Send a question to another process."""
        answer = self.answers_by_name.get(peer.name)
        if answer is None:
            return Err(PeerFailure(delivered=False, detail='unreachable'))
        return Ok(await answer(ProcessId('asker'), payload))


@dataclass
class Router:
    """A process of the fleet."""

    name: str
    link: StoreLink
    reader: KeyReader
    role: CoordinatorRole
    feed: MapFeed
    collector: LoadCollector
    log: RecordingLog
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def is_coordinating(self) -> bool:
        """Whether the process is the coordinator."""
        return self.feed.is_coordinator


class SimulatedFleet:
    """A store, backend servers and processes, all in memory."""

    def __init__(self, servers: int) -> None:
        self.store = KvStore()
        self.book = MemoryOrderChannel(SAMPLE_KEYS)
        clock = TrioClock()
        self.clock = clock
        self.directory = ServerDirectory(clock, NullEventLog())
        self.directory.is_loaded = True
        self.peers = PeerLinks()
        self.routers: list[Router] = []
        self.nursery: trio.Nursery | None = None
        for number in range(servers):
            self.add_server(number)

    def add_server(self, number: int, born: int = 1) -> BackendServer:
        """Register a backend server without keys."""
        server = make_server(number, born)
        self.book.holders_by_id[server.id] = KeyHolder(born=born)
        self.directory.put(server, 1)
        return server

    def leave(self, number: int) -> None:
        """Mark a backend server as leaving."""
        server = self.directory.get(ServerId(f's{number}'))
        assert server is not None
        self.directory.put(replace(server, is_leaving=True), 2)

    def start(self, nursery: trio.Nursery) -> None:
        """Run the stand-ins in a nursery."""
        self.nursery = nursery
        self.book.use_nursery(nursery)

    def add_router(
        self,
        name: str,
        times: KeyTimes | None = None,
        speed: float = 1,
    ) -> Router:
        """Start a process."""
        assert self.nursery is not None
        times = times or KeyTimes()
        link = StoreLink(self.store)
        log = RecordingLog()
        reader = KeyReader(log)
        feed = MapFeed()
        collector = LoadCollector(self.clock)
        follower = RecordFollower(
            link,  # type: ignore[arg-type]
            COORDINATOR_NAME,
            reader,
            self.clock,
            log,
        )
        succession = Succession(self.peers, log)
        self.peers.answers_by_name[name] = succession.answer
        failure_detector = FailureDetector(
            times, self.clock, collector.speeds.last_answered_at
        )
        orders = OrderDependencies(
            channel=self.book,
            incarnations=ServerIncarnations(self.directory),
            failure_detector=failure_detector,
            times=times,
            events=log,
        )
        role = CoordinatorRole(
            RoleDependencies(
                own=make_endpoint(name),
                store=link,  # type: ignore[arg-type]
                reader=reader,
                is_current=lambda: follower.is_current,
                keyed_services=lambda: (SERVICE,),
                speed=speed,
                coordination=CoordinatorDependencies(
                    orders=orders,
                    collector=collector,
                    feed=feed,
                    succession=succession,
                    clock=self.clock,
                    events=log,
                ),
            ),
        )
        router = Router(name, link, reader, role, feed, collector, log)
        self.nursery.start_soon(self._run, router, follower)
        self.routers.append(router)
        return router

    def kill(self, router: Router) -> None:
        """Stop a process without cleanup, as SIGKILL does."""
        router.scope.cancel()
        del self.peers.answers_by_name[router.name]

    def coordinator(self) -> Router:
        """Return the process that is the coordinator."""
        return next(router for router in self.routers if router.is_coordinating)

    async def wait_until_owned(self, seconds: float = 3) -> None:
        """Wait until all sample keys have owners, or fail after a timeout."""
        with trio.fail_after(seconds):
            while None in {self.book.owner(key) for key in SAMPLE_KEYS}:
                await trio.sleep(0.05)

    async def _run(self, router: Router, follower: RecordFollower) -> None:
        with router.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                nursery.start_soon(router.role.run)
        router.feed.is_coordinator = False
