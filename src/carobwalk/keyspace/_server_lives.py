"""Lives of backend servers, also of those that left the directory."""

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.keyspace._key_range import ServerLife
from carobwalk.model import ServerId, ServiceName


class ServerLives:
    """Finds the server of a life, and tells which lives are over.

    Args:
        directory: Registered backend servers.
    """

    def __init__(self, directory: ServerDirectory) -> None:
        self._directory = directory
        self._servers_by_life: dict[ServerLife, BackendServer] = {}
        self._latest_by_id: dict[ServerId, int] = {}

    def refresh(self) -> None:
        """Take in the directory as it stands."""
        for server in self._directory.all_servers():
            life = life_of(server)
            self._servers_by_life[life] = server
            latest = self._latest_by_id.get(server.id, 0)
            self._latest_by_id[server.id] = max(latest, server.born)

    def server(self, life: ServerLife) -> BackendServer | None:
        """Return the server of a life, also after it left."""
        return self._servers_by_life.get(life)

    def is_replaced(self, life: ServerLife) -> bool:
        """Whether the server has started again since."""
        return self._latest_by_id.get(life.server, life.born) > life.born

    def registered(self, service: ServiceName) -> list[BackendServer]:
        """Return the registered servers of a service."""
        return self._directory.of_service(service)


def life_of(server: BackendServer) -> ServerLife:
    """Return the life of a registered server."""
    return ServerLife(server.id, server.born)
