"""Known incarnations of backend servers, including deregistered ones."""

from carobwalk.directory import (
    BackendServer,
    ServerDirectory,
    ServerIncarnation,
)
from carobwalk.model import DataCentreName, ServerId, ServiceName


class ServerIncarnations:
    """Looks up servers by incarnation, and detects replaced incarnations.

    Args:
        directory: Registered backend servers.
    """

    def __init__(self, directory: ServerDirectory) -> None:
        self._directory = directory
        self._servers_by_incarnation: dict[
            ServerIncarnation, BackendServer
        ] = {}
        self._latest_by_id: dict[ServerId, int] = {}

    def refresh(self) -> None:
        """Add the servers that are currently registered."""
        for server in self._directory.all_servers():
            self._servers_by_incarnation[server.incarnation] = server
            latest = self._latest_by_id.get(server.id, 0)
            self._latest_by_id[server.id] = max(latest, server.born)

    def server(self, incarnation: ServerIncarnation) -> BackendServer | None:
        """Return the server of an incarnation, even if deregistered since."""
        return self._servers_by_incarnation.get(incarnation)

    def data_centre(
        self, incarnation: ServerIncarnation
    ) -> DataCentreName | None:
        """Return the data centre of an incarnation, ``None`` if unknown."""
        server = self.server(incarnation)
        return None if server is None else server.data_centre

    def latest(self, incarnation: ServerIncarnation) -> BackendServer | None:
        """Return the latest known incarnation of an incarnation's server.

        Orders name a server by its id only, so that a restarted server may
        have accepted orders for its earlier life. Former incarnations don't
        count: they may have listened at another address.
        """
        known = self._latest_by_id.get(incarnation.server, incarnation.born)
        born = max(known, incarnation.born)
        return self.server(ServerIncarnation(incarnation.server, born))

    def is_replaced(self, incarnation: ServerIncarnation) -> bool:
        """Whether the server has restarted since."""
        return (
            self._latest_by_id.get(incarnation.server, incarnation.born)
            > incarnation.born
        )

    def registered(self, service: ServiceName) -> list[BackendServer]:
        """Return the registered servers of a service."""
        return self._directory.of_service(service)
