"""Process of a simulated fleet."""

from functools import partial
from typing import Protocol

import msgspec
import trio
from result import Err, Ok, Result

from carobwalk.events import EventLog, NullEventLog
from carobwalk.model import Endpoint, ProcessId
from carobwalk.ownership import (
    GrantFailure,
    GrantReport,
    OwnershipContext,
    OwnershipRole,
    ServerOrder,
)
from carobwalk.peer import PeerFailure, Topic, TopicHandler
from carobwalk.profiles import Catalogue
from standins.fake_clock import FakeClock
from standins.fake_fleet_shape import FleetShape
from standins.fake_network import FakeNetwork
from standins.fake_server import FakeServer
from standins.fake_store_link import FakeStoreLink
from standins.memory_host_list import MemoryHostList
from standins.memory_store import MemoryStore


class FleetContext(Protocol):
    """Parts of the fleet that a process depends on."""

    shape: FleetShape
    nursery: trio.Nursery
    network: FakeNetwork
    store: MemoryStore
    host_list: MemoryHostList
    servers: dict[str, FakeServer]
    processes: 'dict[str, FakeProcess]'
    catalogue: Catalogue


class FakeTopics:
    """Topic handlers of one process."""

    def __init__(self) -> None:
        self.handlers_by_topic: dict[Topic, TopicHandler] = {}

    def register(self, topic: Topic, handler: TopicHandler) -> None:
        """Register the handler of a topic."""
        self.handlers_by_topic[topic] = handler


class FakeProcess:
    """One process, which can crash and restart.

    Args:
        fleet: Fleet that it belongs to.
        endpoint: Its name, address, region and data centre.
        clock: Its local clock.
    """

    def __init__(
        self,
        fleet: FleetContext,
        endpoint: Endpoint,
        clock: FakeClock,
    ) -> None:
        self.endpoint = endpoint
        self.clock = clock
        self.events: EventLog = NullEventLog()
        self.store = FakeStoreLink(
            fleet.store.client(),
            fleet.network,
            endpoint.name,
        )
        self.sent_messages = 0
        self.sent_bytes = 0
        self._fleet = fleet
        self._start()

    @property
    def name(self) -> str:
        """Return the process id."""
        return self.endpoint.name

    def _start(self) -> None:
        self.topics = FakeTopics()
        self.scope = trio.CancelScope()
        self.role = OwnershipRole(
            OwnershipContext(
                own=self.endpoint,
                store=self.store,
                host_list=self._fleet.host_list,
                peers=self,
                topics=self.topics,
                channel=self,
                clock=self.clock,
                events=self.events,
                catalogue=lambda: self._fleet.catalogue,
                times=self._fleet.shape.times,
                shards_per_server=self._fleet.shape.shards_per_server,
                rules=self._fleet.shape.rules,
            ),
        )

    async def run(self) -> None:
        """Run the ownership role until the process crashes."""
        with self.scope:
            await self.role.run()

    def crash(self) -> None:
        """Stop immediately and lose the state in memory."""
        self.scope.cancel()
        self._fleet.network.down.add(self.name)

    def restart(self) -> None:
        """Restart with empty state."""
        self._start()
        self._fleet.network.down.discard(self.name)
        self._fleet.nursery.start_soon(self.run)

    async def ask(
        self,
        peer: Endpoint,
        topic: Topic,
        payload: bytes,
        timeout: float,
    ) -> Result[bytes, PeerFailure]:
        """Send a payload to a process and wait for the answer."""
        self.sent_messages += 1
        self.sent_bytes += len(payload)
        target = self._fleet.processes[peer.name]
        if peer.name == self.name:
            handler = self.topics.handlers_by_topic[topic]
            return Ok(await handler(ProcessId(self.name), payload))
        reply = await self._fleet.network.exchange(
            self.name,
            peer.name,
            partial(target.serve, topic, self.name, payload),
            timeout,
        )
        if reply is None:
            return Err(PeerFailure(delivered=True, detail='no answer'))
        return Ok(reply)

    async def serve(self, topic: Topic, sender: str, payload: bytes) -> bytes:
        """Handle a payload sent by another process."""
        handler = self.topics.handlers_by_topic[topic]
        return await handler(ProcessId(sender), payload)

    async def send(
        self,
        server: Endpoint,
        order: ServerOrder,
        timeout: float,
    ) -> Result[GrantReport, GrantFailure]:
        """Send an order to a backend server and wait for the report."""
        self.sent_messages += 1
        self.sent_bytes += len(msgspec.json.encode(order))
        target = self._fleet.servers[server.name]
        report = await self._fleet.network.exchange(
            self.name,
            server.name,
            partial(target.handle, order),
            timeout,
        )
        if report is None:
            return Err(GrantFailure(refused=False, detail='no report'))
        return Ok(report)
