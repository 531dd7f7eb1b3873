"""In-memory fleet of processes that follow records of one store."""

from collections import defaultdict
from dataclasses import dataclass, field

import trio
from result import Err, Result

from carobwalk.model import (
    Address,
    DataCentreName,
    Endpoint,
    RegionName,
    TrioClock,
)
from carobwalk.peer import PeerFailure, Topic
from carobwalk.relay import (
    FreshnessTimes,
    RecordRelay,
    RecordRelayParts,
    RelayHost,
)
from carobwalk.store import Listing, Removed, Versioned
from standins.platform import KvStore
from tests.keyspace.fleet_links import (
    PeerLinks,
    ProcessGate,
    StoreLink,
    gated,
)
from tests.recording_log import RecordingLog

PREFIX = 'servers/'
# Time within which each process has to know a change.
BOUND_SECONDS = 2.0


class _Connections(PeerLinks):
    """Connections that are lost when the process at their end is killed."""

    def __init__(self) -> None:
        super().__init__()
        self.killed_by_name: dict[str, trio.Event] = defaultdict(trio.Event)

    async def ask(
        self,
        peer: Endpoint,
        topic: Topic,
        payload: bytes,
        timeout: float,
    ) -> Result[bytes, PeerFailure]:
        """Send a question to another process."""
        answered: Result[bytes, PeerFailure] = Err(
            PeerFailure(delivered=True, detail='connection lost')
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_killed, peer, nursery)
            answered = await super().ask(peer, topic, payload, timeout)
            nursery.cancel_scope.cancel()
        return answered

    async def _cancel_when_killed(
        self, peer: Endpoint, nursery: trio.Nursery
    ) -> None:
        await self.killed_by_name[peer.name].wait()
        nursery.cancel_scope.cancel()


class Records:
    """Records of a prefix, as a process knows them."""

    def __init__(self) -> None:
        self.by_name: dict[str, bytes] = {}
        self.revisions: list[int] = []
        self.missing_after_outage: set[str] = set()
        self.is_loaded = False

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Replace all records."""
        listed = {row.name: row.content for row in listing.records}
        if after_outage:
            self.missing_after_outage = self.by_name.keys() - listed.keys()
        self.by_name = listed
        self.revisions.append(listing.revision)
        self.is_loaded = True

    def apply(self, change: Versioned | Removed) -> None:
        """Apply one change."""
        self.revisions.append(change.revision)
        if isinstance(change, Removed):
            self.by_name.pop(change.name, None)
        else:
            self.by_name[change.name] = change.content


@dataclass
class Node:
    """A process of the fleet."""

    own: Endpoint
    relay: RecordRelay
    records: Records
    link: StoreLink
    gate: ProcessGate
    log: RecordingLog
    is_coordinator: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def is_relaying(self) -> bool:
        """Whether the process relays records now."""
        return self.relay.role.is_fresh


class RelayFleet:
    """A store, and processes in several regions."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store = KvStore()
        self.peers = _Connections()
        self.peers.nursery = nursery
        self.nodes: list[Node] = []
        self._nursery = nursery
        self._clock = TrioClock()

    def start_all(self, regions: int, each: int) -> None:
        """Start the same number of processes in each region."""
        for region in range(regions):
            for number in range(each):
                self.start(f'p{region}-{number}', region)

    def start(
        self,
        name: str,
        region: int = 0,
        host: RelayHost | None = None,
    ) -> Node:
        """Start a process."""
        own = Endpoint(
            name,
            Address('127.0.0.1', 1),
            RegionName(f'r{region}'),
            DataCentreName(f'dc{region}'),
        )
        gate = ProcessGate()
        link = StoreLink(self.store, gate)
        link.nursery = self._nursery
        log = RecordingLog()
        nodes: list[Node] = []
        relay = RecordRelay(
            RecordRelayParts(
                own=own,
                host=host or RelayHost(),
                store=link,  # type: ignore[arg-type]
                peers=self.peers,
                is_coordinator=lambda: nodes[0].is_coordinator,
                times=FreshnessTimes(BOUND_SECONDS),
                clock=self._clock,
                events=log,
            ),
        )
        records = Records()
        relay.follow(PREFIX, records)
        node = Node(own, relay, records, link, gate, log)
        nodes.append(node)
        self.nodes.append(node)
        self.peers.answers_by_name[name] = gated(relay.feed.answer, gate)
        self._nursery.start_soon(_run, node)
        return node

    def kill(self, node: Node) -> None:
        """End a process without cleanup, as SIGKILL does."""
        node.scope.cancel()
        self.peers.answers_by_name.pop(node.own.name)
        self.peers.killed_by_name.pop(node.own.name, trio.Event()).set()
        self.nodes.remove(node)

    def relays(self, region: int | None = None) -> list[Node]:
        """Return the processes that relay now."""
        return [
            node
            for node in self.nodes
            if node.is_relaying and region in {None, int(node.own.region[1:])}
        ]

    def put(self, name: str, content: bytes = b'x') -> None:
        """Write a record."""
        self.store.records.put(f'{PREFIX}{name}', content)

    def remove(self, name: str) -> None:
        """Remove a record."""
        self.store.records.remove(f'{PREFIX}{name}')

    async def wait_until_known(self, seconds: float) -> None:
        """Wait until each process has the store's records, or fail."""
        stored = {
            row.name: row.content
            for row in self.store.records.list_prefix(PREFIX)
        }
        with trio.fail_after(seconds):
            for node in self.nodes:
                while node.records.by_name != stored:
                    await trio.sleep(0.01)


async def _run(node: Node) -> None:
    with node.scope:
        async with trio.open_nursery() as nursery:
            node.relay.start(nursery)


def fleet_without(fleet: RelayFleet, node: Node) -> RelayFleet:
    """Return a view of a fleet that leaves a process out."""
    view = RelayFleet.__new__(RelayFleet)
    view.__dict__.update(fleet.__dict__)
    view.nodes = [other for other in fleet.nodes if other is not node]
    return view
