"""Test harness: a gateway and failing backend servers on loopback."""

from dataclasses import dataclass
from types import MappingProxyType

import h11
import trio

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.events import NullEventLog
from carobwalk.gateway import (
    CandidateServers,
    ConnectionPool,
    CrashTracker,
    Forwarder,
    ForwarderParts,
    GatewayServer,
    GatewayService,
    KeyedChooser,
    KeyOwner,
    LoadTable,
    Locality,
    NullRequestMeter,
    RegionRules,
    RetryBudgets,
    RetryRules,
    ServerCost,
    UnkeyedChooser,
)
from carobwalk.http import AnswerMemory, H11Stream, Shutdown
from carobwalk.model import (
    Address,
    DataCentreName,
    RegionName,
    ServerId,
    ServiceName,
    TrioClock,
)
from carobwalk.platform import PLATFORM_HEADERS, decode_configuration
from carobwalk.routing import ActiveRoutes
from carobwalk.shares import ProcessShare
from standins.platform import Fault, PlatformBackend
from tests.recording_log import RecordingLog

LOCAL_DATA_CENTRE = DataCentreName('dc1')
REMOTE_DATA_CENTRE = DataCentreName('dc2')
REGIONS_BY_DATA_CENTRE = MappingProxyType(
    {
        LOCAL_DATA_CENTRE: RegionName('r1'),
        REMOTE_DATA_CENTRE: RegionName('r2'),
    }
)
CONFIGURATION = b"""{"version":"r7",
"limits":{"max_header_bytes":4096,"max_body_bytes":100000,
 "header_timeout_s":1,"idle_timeout_s":5},
"listeners":[{"host":"a.example","rule_set":[
 {"name":"reads","kind":"idempotent","target_latency_s":0.25,"priority":0,
  "match":{"prefix":"/reads/"},
  "action":{"service":"reads","timeout_s":0.6,"max_attempts":2}},
 {"name":"writes","kind":"non_idempotent","target_latency_s":0.3,"priority":1,
  "match":{"prefix":"/writes/"},
  "action":{"service":"writes","timeout_s":0.6,"max_attempts":2}},
 {"name":"keyed","kind":"idempotent","target_latency_s":0.25,"priority":0,
  "match":{"prefix":"/keyed/"},
  "action":{"service":"keyed","timeout_s":0.6,"max_attempts":2}}]}],
"clusters":[{"name":"reads"},{"name":"writes"},
 {"name":"keyed","sharded":true}]}"""


@dataclass(frozen=True)
class Answer:
    """Answer as received by a caller."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class SingleOwnerMap:
    """Key map in which one server, or none, owns all keys."""

    def __init__(self) -> None:
        self.server: BackendServer | None = None
        self.fence = 0
        self.counts: list[int] = []

    def find(self, service: ServiceName, key: int) -> KeyOwner | None:
        """Return the owner of all keys."""
        if self.server is None:
            return None
        return KeyOwner(self.server, is_granted=True, fence=self.fence)

    def count(self, service: ServiceName, key: int) -> None:
        """Record the key of a request."""
        self.counts.append(key)

    async def wait_for_change(self, service: ServiceName) -> None:
        """Wait for 0.05 s, as if an owner had changed."""
        await trio.sleep(0.05)


class RecordingMeter(NullRequestMeter):
    """Meter that records statuses and the causes of refusals."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.refusal_causes: list[str] = []
        self.pipelined: list[str] = []

    def record(
        self, service: str, rank: int, status: int, seconds: float
    ) -> None:
        """Record the status of a request."""
        self.statuses.append(status)

    def record_refusal(
        self, service: str, cause: str, rank: int | None = None
    ) -> None:
        """Record the cause of a refusal."""
        self.refusal_causes.append(cause)

    def record_pipelined(self, outcome: str) -> None:
        """Record what happened to a request that was read ahead."""
        self.pipelined.append(str(outcome))


class GatewayHarness:
    """Gateway on loopback with all its dependencies."""

    def __init__(
        self,
        nursery: trio.Nursery,
        answer_bytes: int = 50_000_000,
    ) -> None:
        self.nursery = nursery
        self.answer_memory = AnswerMemory(answer_bytes)
        self.is_stopping = False
        self.shutdown = Shutdown()
        self.log = RecordingLog()
        self.meter = RecordingMeter()
        self.directory = ServerDirectory(TrioClock(), NullEventLog())
        self.routes = ActiveRoutes(NullEventLog())
        decoded = decode_configuration(CONFIGURATION)
        self.routes.offer(decoded.ok_value, 1)
        self.owners = SingleOwnerMap()
        self.share = ProcessShare()
        self.loads = LoadTable(self.directory, self.share)
        self.pool = ConnectionPool(self.directory, PLATFORM_HEADERS)
        locality = Locality(LOCAL_DATA_CENTRE, REGIONS_BY_DATA_CENTRE)
        self.budgets = RetryBudgets(
            RetryRules(ratio=2, slack=64, window=10), self.share
        )
        self.crash_tracker = CrashTracker()
        candidates = CandidateServers(
            self.directory,
            self.loads.warmups.is_cold,
            RegionRules(REGIONS_BY_DATA_CENTRE, self.routes),
        )
        forwarder = Forwarder(
            ForwarderParts(
                names=PLATFORM_HEADERS,
                loads=self.loads,
                pool=self.pool,
                unkeyed=UnkeyedChooser(
                    candidates,
                    self.loads,
                    ServerCost(self.loads, locality),
                ),
                keyed=KeyedChooser(self.owners, self.loads, candidates),
                budgets=self.budgets,
                crash_tracker=self.crash_tracker,
                events=NullEventLog(),
            ),
        )
        self.server = GatewayServer(
            GatewayService(
                names=PLATFORM_HEADERS,
                routes=self.routes,
                forwarder=forwarder,
                count_key=self.owners.count,
                answer_memory=self.answer_memory,
                meter=self.meter,
                events=self.log,
                is_stopping=lambda: self.is_stopping,
                shutdown=self.shutdown,
            ),
            100,
        )
        self._port = 0

    async def start(self) -> None:
        """Start the gateway on a free port."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self._port = listeners[0].socket.getsockname()[1]
        self.nursery.start_soon(self.server.run, listeners)

    @property
    def address(self) -> tuple[str, int]:
        """Address that the gateway listens at."""
        return '127.0.0.1', self._port

    async def add_backend(
        self,
        service: str,
        name: str,
        seconds: float = 0,
        data_centre: DataCentreName = LOCAL_DATA_CENTRE,
    ) -> PlatformBackend:
        """Start and register a backend server.

        Args:
            service: Service that the server runs.
            name: Id of the server.
            seconds: Time that it takes for each request.
            data_centre: Data centre of the server.
        """
        backend = PlatformBackend(name, seconds)
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        self.nursery.start_soon(trio.serve_listeners, backend.serve, listeners)
        self.register(service, name, port, data_centre)
        return backend

    async def add_faulty_backend(
        self,
        service: str,
        name: str,
        fault: Fault,
        times: int = 1,
        seconds: float = 0,
    ) -> PlatformBackend:
        """Start and register a backend server whose first requests fail.

        Args:
            service: Service that the server runs.
            name: Id of the server.
            fault: How the requests fail.
            times: Number of requests that fail.
            seconds: Time that it takes for each request.
        """
        backend = await self.add_backend(service, name, seconds)
        backend.fault = fault
        backend.remaining_faults = times
        return backend

    def register(
        self,
        service: str,
        name: str,
        port: int,
        data_centre: DataCentreName = LOCAL_DATA_CENTRE,
    ) -> BackendServer:
        """Register a backend server at a loopback port."""
        server = BackendServer(
            id=ServerId(name),
            born=1,
            service=ServiceName(service),
            address=Address('127.0.0.1', port),
            data_centre=data_centre,
            slots=4,
            is_leaving=False,
        )
        self.directory.put(server, 1)
        return server

    async def send_keyed(
        self, request_id: str, key: str, milliseconds: str
    ) -> Answer:
        """Send a request for a key with a time to its deadline."""
        return await self.send_request(
            'GET',
            '/keyed/a',
            b'',
            request_id,
            shard_key=key,
            deadline_ms=milliseconds,
        )

    async def open(self) -> H11Stream:
        """Open a caller's connection to the gateway."""
        stream = await trio.open_tcp_stream('127.0.0.1', self._port)
        return H11Stream(stream, h11.CLIENT)

    async def send_request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        request_id: str = 'id1',
        **headers: str,
    ) -> Answer:
        """Send one request on a new connection and return its answer."""
        http = await self.open()
        answer = await exchange(http, method, path, body, request_id, **headers)
        await trio.aclose_forcefully(http.stream)
        return answer


async def exchange(
    http: H11Stream,
    method: str,
    path: str,
    body: bytes = b'',
    request_id: str = 'id1',
    **headers: str,
) -> Answer:
    """Send one request on an open connection and return its answer."""
    sent = {
        'host': 'a.example',
        'attempt-id': request_id,
        'deadline-ms': '500',
        'content-length': str(len(body)),
        **{name.replace('_', '-'): text for name, text in headers.items()},
    }
    await http.send(
        h11.Request(method=method, target=path, headers=list(sent.items())),
        h11.Data(data=body),
        h11.EndOfMessage(),
    )
    event = await http.receive()
    assert isinstance(event, h11.Response)
    read = await http.read_body(1_000_000)
    return Answer(event.status_code, dict(event.headers), read or b'')
