"""In-memory fleet that runs coordinators against stand-ins."""

from dataclasses import dataclass, field, replace

import trio

from carobwalk.directory import BackendServer
from carobwalk.events import Event, NullEventLog
from carobwalk.keyspace import (
    CoordinatorDependencies,
    CoordinatorRole,
    FailureDetector,
    KeyLocations,
    KeyReader,
    KeyTimes,
    LoadCollector,
    MapFeed,
    OrderDependencies,
    RoleDependencies,
    ServerIncarnations,
    Succession,
)
from carobwalk.keyspace._coordinator_record import COORDINATOR_NAME
from carobwalk.model import (
    Address,
    DataCentreName,
    Endpoint,
    RegionName,
    ServerId,
    ServiceName,
    TrioClock,
)
from carobwalk.routing import ActiveRoutes
from carobwalk.store import RecordFollower
from standins.platform import (
    KeyHolder,
    KvStore,
    MemoryOrderChannel,
    OrderFaults,
)
from tests.keyspace.fleet_links import (
    GatedOrders,
    PeerLinks,
    ProcessGate,
    StoreLink,
    gated,
)
from tests.keyspace.fleet_registry import FleetRegistry, RegistryView
from tests.keyspace.fleet_services import ServiceOrders
from tests.recording_log import RecordingLog

SERVICE = ServiceName('registry')
SAMPLE_KEYS = (0, 1000, 20_000, 40_000, 65_535)
_POLL_SECONDS = 0.01


def make_server(
    number: int,
    born: int = 1,
    address: Address | None = None,
    service: ServiceName = SERVICE,
) -> BackendServer:
    """Return a registered backend server."""
    return BackendServer(
        id=ServerId(f's{number}'),
        born=born,
        service=service,
        address=address or Address('127.0.0.1', 1000 + number),
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


class TimedLog(RecordingLog):
    """Event log that records the events and their times."""

    def __init__(self) -> None:
        super().__init__()
        self.times: list[float] = []

    def emit(self, event: Event) -> None:
        """Record an event."""
        super().emit(event)
        self.times.append(trio.current_time())


@dataclass
class Router:
    """A process of the fleet."""

    name: str
    link: StoreLink
    reader: KeyReader
    role: CoordinatorRole
    feed: MapFeed
    collector: LoadCollector
    log: TimedLog
    gate: ProcessGate
    registry: RegistryView
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def is_coordinating(self) -> bool:
        """Whether the process is the coordinator."""
        return self.feed.is_coordinator

    async def wait_for_role(self, seconds: float = 5) -> None:
        """Wait until the process coordinates, or fail after a timeout."""
        with trio.fail_after(seconds):
            while not self.is_coordinating:
                await trio.sleep(_POLL_SECONDS)


class SimulatedFleet:
    """A store, backend servers and processes, all in memory.

    Args:
        servers: Number of backend servers.
        keys: Keys that are checked for double owners.
    """

    def __init__(
        self,
        servers: int,
        keys: tuple[int, ...] = SAMPLE_KEYS,
    ) -> None:
        self.store = KvStore()
        self.book = MemoryOrderChannel(keys)
        self.books_by_service = {SERVICE: self.book}
        clock = TrioClock()
        self.clock = clock
        self.registry = FleetRegistry(clock)
        self.regions_by_data_centre: dict[DataCentreName, RegionName] = {}
        self.routes = ActiveRoutes(NullEventLog())
        self.peers = PeerLinks()
        self.routers: list[Router] = []
        self.nursery: trio.Nursery | None = None
        for number in range(servers):
            self.add_server(number)

    def add_server(self, number: int, born: int = 1) -> BackendServer:
        """Register a backend server without keys."""
        self.start_server(number, born)
        return self.register_server(number, born)

    def start_server(self, number: int, born: int = 1) -> KeyHolder:
        """Start a backend server that is not registered yet."""
        holder = KeyHolder(born=born)
        server = ServerId(f's{number}')
        self.book.holders_by_id[server] = holder
        self.book.faults_by_id.setdefault(server, OrderFaults())
        return holder

    def register_server(self, number: int, born: int) -> BackendServer:
        """Register a backend server that was started before."""
        address = self.book.reach.addresses_by_id.get(ServerId(f's{number}'))
        server = make_server(number, born, address)
        self.registry.put(server, born)
        return server

    def leave(self, number: int) -> None:
        """Mark a backend server as leaving."""
        server = self.registry.get(ServerId(f's{number}'))
        assert server is not None
        self.registry.put(replace(server, is_leaving=True), 2)

    def start(self, nursery: trio.Nursery) -> None:
        """Run the stand-ins in a nursery."""
        self.nursery = nursery
        self.book.use_nursery(nursery)
        self.peers.nursery = nursery
        self.registry.nursery = nursery

    def add_router(
        self,
        name: str,
        times: KeyTimes | None = None,
        speed: float = 1,
    ) -> Router:
        """Start a process."""
        assert self.nursery is not None
        times = times or KeyTimes()
        gate = ProcessGate()
        link = StoreLink(self.store, gate)
        link.nursery = self.nursery
        log = TimedLog()
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
        self.peers.answers_by_name[name] = gated(succession.answer, gate)
        registry = self.registry.add_view(name)
        failure_detector = FailureDetector(
            times, self.clock, collector.speeds.last_answered_at
        )
        orders = OrderDependencies(
            channel=GatedOrders(ServiceOrders(self.books_by_service), gate),
            incarnations=ServerIncarnations(registry.directory),
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
                keyed_services=lambda: tuple(self.books_by_service),
                speed=speed,
                coordination=CoordinatorDependencies(
                    orders=orders,
                    collector=collector,
                    feed=feed,
                    succession=succession,
                    locations=KeyLocations(
                        registry.directory.evacuations,
                        self.regions_by_data_centre,
                        self.routes,
                    ),
                    clock=self.clock,
                    events=log,
                ),
            ),
        )
        router = Router(
            name, link, reader, role, feed, collector, log, gate, registry
        )
        self.nursery.start_soon(self._run, router, follower)
        self.routers.append(router)
        return router

    def kill(self, router: Router) -> None:
        """Stop a process without cleanup, as SIGKILL does."""
        router.scope.cancel()
        del self.peers.answers_by_name[router.name]
        del self.registry.views_by_name[router.name]

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
