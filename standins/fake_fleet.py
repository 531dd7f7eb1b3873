"""Simulated processes and backend servers that share one store."""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

import trio

from carobwalk.model import (
    Address,
    DataCentreName,
    Endpoint,
    RegionName,
    ServiceName,
)
from carobwalk.profiles import Catalogue, Profile, Service
from carobwalk.store import Host
from standins.fake_clock import FakeClock
from standins.fake_fleet_shape import FleetShape
from standins.fake_network import FakeNetwork
from standins.fake_process import FakeProcess
from standins.fake_server import FakeServer, OwnershipRecord
from standins.memory_host_list import MemoryHostList
from standins.memory_store import MemoryStore, StoreFaults

SERVICE: Final = ServiceName('claims')
REGION: Final = RegionName('north')
_POLL_INTERVAL_SECONDS: Final = 0.01


class FakeFleet:
    """Simulated processes, servers, store, host list and network of a region.

    Args:
        nursery: Nursery that runs the processes.
        shape: Size and settings.
    """

    def __init__(self, nursery: trio.Nursery, shape: FleetShape) -> None:
        self.shape = shape
        self.nursery = nursery
        self.network = FakeNetwork(nursery, shape.seed)
        self.store = MemoryStore()
        self.record = OwnershipRecord()
        self.host_list = MemoryHostList()
        self.servers = self.record.servers
        self.processes: dict[str, FakeProcess] = {}
        self.catalogue = _catalogue(shape.profile)
        for number in range(shape.data_centres):
            self._add_data_centre(DataCentreName(f'dc{number + 1}'))
        self.inject(StoreFaults(timeout=shape.store_timeout))

    def start(self) -> None:
        """Start all processes."""
        for process in self.processes.values():
            self.nursery.start_soon(process.run)

    def inject(self, faults: StoreFaults) -> None:
        """Inject store faults for all processes, with the fleet's timeout."""
        timeout = self.shape.store_timeout
        self.store.inject(replace(faults, timeout=timeout))

    def coordinator_of(self, group: str) -> FakeProcess | None:
        """Return the live coordinator with the highest epoch, if any."""
        processes_by_epoch: dict[int, FakeProcess] = {}
        for process in self.processes.values():
            snapshot = process.role.snapshot()
            group_state = snapshot.groups.get(group)
            is_coordinator = group in snapshot.coordinating
            if (
                group_state
                and is_coordinator
                and process.name not in self.network.down
            ):
                processes_by_epoch[group_state.epoch] = process
        return (
            processes_by_epoch[max(processes_by_epoch)]
            if processes_by_epoch
            else None
        )

    def owners(self) -> dict[tuple[ServiceName, int], str]:
        """Return the live owner of each shard according to the servers."""
        return {
            shard_id: server.endpoint.name
            for server in self.servers.values()
            for shard_id in self.record.tokens
            if server.owns(shard_id)
        }

    async def wait_until(
        self,
        condition: Callable[[], bool],
        timeout: float,
    ) -> float:
        """Poll a condition and return the seconds until it holds."""
        started = trio.current_time()
        with trio.fail_after(timeout):
            while not condition():
                await trio.sleep(_POLL_INTERVAL_SECONDS)
        return trio.current_time() - started

    async def wait_until_served(self, timeout: float = 10) -> float:
        """Wait until every shard has a live owner."""
        return await self.wait_until(
            lambda: len(self.owners()) == self.shape.shard_count,
            timeout,
        )

    def _add_data_centre(self, data_centre: DataCentreName) -> None:
        for number in range(self.shape.entries):
            endpoint = _endpoint(f'{data_centre}-entry{number}', data_centre)
            process = FakeProcess(self, endpoint, self._next_clock())
            self.processes[endpoint.name] = process
            self.host_list.put(Host(endpoint, None, leaving=False))
        for number in range(self.shape.servers):
            self.add_server(f'{data_centre}-server{number}', data_centre)

    def add_server(self, name: str, data_centre: DataCentreName) -> FakeServer:
        """Add a backend server and put it on the host list."""
        endpoint = _endpoint(name, data_centre)
        server = FakeServer(
            endpoint,
            SERVICE,
            self.record,
            self._next_clock(),
            self.shape.rules,
        )
        self.host_list.put(Host(endpoint, SERVICE, leaving=False))
        return server

    def _next_clock(self) -> FakeClock:
        """Return the next clock; rates cycle within the drift bound."""
        count = len(self.processes) + len(self.servers)
        rate = 1 + self.shape.drift * (count % 3 - 1)
        return FakeClock(rate=rate, offset=100 + 7 * count)


def _endpoint(name: str, data_centre: DataCentreName) -> Endpoint:
    return Endpoint(name, Address('127.0.0.1', 1), REGION, data_centre)


def _catalogue(profile: Profile) -> Catalogue:
    return Catalogue(
        revision=1,
        profiles_by_name={profile.name: profile},
        services_by_name={SERVICE: Service(SERVICE, profile.name)},
    )
