"""Crashes and starts of backend servers."""

from carobwalk.store import Host
from standins.fake_fleet import SERVICE, FakeFleet


def stop_server(fleet: FakeFleet, name: str) -> None:
    """Crash a server."""
    fleet.servers[name].crash()
    fleet.network.down.add(name)


def start_server(fleet: FakeFleet, name: str) -> None:
    """Start a crashed server as a new incarnation, and list it."""
    if name in fleet.network.down:
        fleet.servers[name].restart()
        fleet.network.down.discard(name)
    endpoint = fleet.servers[name].endpoint
    fleet.host_list.put(Host(endpoint, SERVICE, leaving=False))
