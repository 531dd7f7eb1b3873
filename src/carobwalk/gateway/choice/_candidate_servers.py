"""Backend servers that may be sent a request."""

from collections.abc import Callable

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.model import ServerId, ServiceName


class CandidateServers:
    """Selects the servers of a service that no rule excludes.

    Their load is not considered. Cold servers are left out.

    Args:
        directory: Registered backend servers.
        is_cold: Returns whether the requests to a server are limited because
            it is cold.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        is_cold: Callable[[BackendServer], bool],
    ) -> None:
        self._directory = directory
        self._is_cold = is_cold

    def find(
        self,
        service: ServiceName,
        request: CallerRequest,
        tried: frozenset[ServerId],
    ) -> list[BackendServer]:
        """Return the servers that may be sent a request.

        Args:
            service: Service that runs the request.
            request: The request.
            tried: Servers that the request was sent to before.
        """
        return [
            server
            for server in self.permitted(service, request, tried)
            if not self._is_cold(server)
        ]

    def permitted(
        self,
        service: ServiceName,
        request: CallerRequest,
        tried: frozenset[ServerId],
    ) -> list[BackendServer]:
        """Return the servers that may be sent a request, cold ones too."""
        return [
            server
            for server in self._directory.of_service(service)
            if not server.is_leaving and server.id not in tried
        ]
