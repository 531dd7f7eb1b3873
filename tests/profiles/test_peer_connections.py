"""Replication of the configuration over real peer connections."""

import random
from dataclasses import dataclass

import trio
from result import Err, Result

from carobwalk.events import HybridClock, NullEventLog
from carobwalk.model import (
    Address,
    Call,
    Completion,
    DataCentreName,
    Endpoint,
    Failure,
    FailureKind,
    Outcome,
    Placement,
    RegionName,
    ReplySink,
    TrioClock,
)
from carobwalk.peer import PeerHub, TopicRegistry
from carobwalk.profiles import (
    ConfigurationFollower,
    ConfigurationRepository,
    FollowerParts,
)
from carobwalk.store import Store
from standins.memory_store import MemoryStore, StoreFaults
from tests.profiles._proposals import PROFILE, propose


class _RejectingForwarder:
    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        return Err(Failure(FailureKind.NO_OWNER, Outcome.NOT_RUN, ''))


async def _listen(name: str) -> tuple[Endpoint, list[trio.SocketListener]]:
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    address = Address('127.0.0.1', listeners[0].socket.getsockname()[1])
    region, data_centre = RegionName('r'), DataCentreName('d')
    return Endpoint(name, address, region, data_centre), listeners


@dataclass(frozen=True)
class _Node:
    own: Endpoint
    listeners: list[trio.SocketListener]
    hub: PeerHub
    follower: ConfigurationFollower

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(
                self.hub.run, self.listeners, _RejectingForwarder()
            )
            nursery.start_soon(self.follower.run)


async def _open_node(name: str, store: Store, known: list[Endpoint]) -> _Node:
    own, listeners = await _listen(name)
    known.append(own)
    topics = TopicRegistry()
    hub = PeerHub(own, HybridClock(), topics)
    follower = ConfigurationFollower(
        FollowerParts(
            own=own,
            store=store,
            peers=hub,
            topics=topics,
            known_peers=lambda: tuple(known),
            is_watcher=lambda: True,
            clock=TrioClock(),
            events=NullEventLog(),
            generator=random.Random(1),
        ),
    )
    return _Node(own, listeners, hub, follower)


class TestPeerConnections:
    """Replication between two connected processes."""

    def test_content_is_sent_to_the_peer(self) -> None:
        """A process without access to the store gets changes from its peer."""

        async def main() -> None:
            store = MemoryStore()
            disconnected = store.client()
            disconnected.inject(StoreFaults(down=True))
            known: list[Endpoint] = []
            one = await _open_node('one', store.client(), known)
            two = await _open_node('two', disconnected, known)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(one.run)
                nursery.start_soon(two.run)
                repository = ConfigurationRepository(
                    store.client(),
                    trio.current_time,
                    random.Random(1),
                )
                write = propose(PROFILE, 'a', {'slots': 2}, 0)
                assert (await repository.write(write)).is_ok()
                with trio.fail_after(20):
                    await two.follower.wait_above(0)
                status = await two.follower.collect_status()
                assert not status.lagging(1)
                nursery.cancel_scope.cancel()

        trio.run(main)
