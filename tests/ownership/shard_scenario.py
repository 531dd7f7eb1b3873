"""Test helper: one shard of a fake fleet with its coordinator and servers."""

from collections.abc import Iterable

import trio

from carobwalk.model import ServerId
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._shard_state import ShardState
from carobwalk.ownership._succession import Holder
from standins.fake_fleet import FakeFleet
from standins.fake_process import FakeProcess

GROUP = 'north/dc1'


class ShardScenario:
    """A shard, its coordinator, owner and successor.

    Args:
        fleet: Fleet in which every shard has an owner.
    """

    def __init__(self, fleet: FakeFleet) -> None:
        coordinator = fleet.coordinator_of(GROUP)
        assert coordinator is not None
        self.fleet = fleet
        self.network = fleet.network
        self.coordinator: FakeProcess = coordinator
        self.state = state_of(coordinator)
        self.shard = next(iter(self.state.shards.values()))
        names = self._recorded_servers()
        self.owner = names[0]
        self.successor = names[1]
        self.others = [
            process.name
            for process in fleet.processes.values()
            if process is not coordinator
        ]

    def _recorded_servers(self) -> tuple[str, str]:
        record = self.shard.record
        assert record is not None
        assert record.successor is not None
        assert self.shard.owner == record.owner
        return record.owner.server, record.successor.server

    def third_server(self) -> str:
        """Return a server that the shard's record does not name."""
        named = {self.owner, self.successor}
        return next(name for name in self.fleet.servers if name not in named)

    def holder(self, server: str) -> Holder:
        """Return a server's incarnation as the coordinator knows it."""
        holder = self.state.links[ServerId(server)].holder
        assert holder is not None
        return holder

    def isolate(self, *kept: str) -> None:
        """Partition the coordinator and some servers from all others.

        Args:
            kept: Servers that the coordinator still reaches.
        """
        inside = {self.coordinator.name, *kept}
        outside = {*self.fleet.processes, *self.fleet.servers} - inside
        self.cut(inside, outside)

    def cut(self, one: Iterable[str], other: Iterable[str]) -> None:
        """Drop all messages between two sets of processes or servers."""
        others = list(other)
        for name in one:
            for peer in others:
                self.network.cuts |= {(name, peer), (peer, name)}

    def reconnect(self, one: Iterable[str], other: Iterable[str]) -> None:
        """Deliver messages between two sets again."""
        others = list(other)
        for name in one:
            for peer in others:
                self.network.cuts -= {(name, peer), (peer, name)}

    async def wait_for_new_coordinator(self) -> None:
        """Wait until another process coordinates, and 50 ms longer."""
        await self.fleet.wait_until(self._has_new_coordinator, 3)
        await trio.sleep(0.05)

    def _has_new_coordinator(self) -> bool:
        current = self.fleet.coordinator_of(GROUP)
        return current not in {None, self.coordinator}


def state_of(process: FakeProcess) -> GroupState:
    """Return the state of the coordinator in a process."""
    coordinator = process.role._candidates[GROUP].coordinator
    assert coordinator is not None
    return coordinator._state


def owner_of(shard: ShardState) -> str | None:
    """Return the server that the coordinator considers the owner."""
    return None if shard.owner is None else shard.owner.server
