"""Backend servers that may be sent a request."""

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.model import ServerId, ServiceName


class CandidateServers:
    """Selects the servers of a service that no rule excludes.

    Their load is not considered.

    Args:
        directory: Registered backend servers.
    """

    def __init__(self, directory: ServerDirectory) -> None:
        self._directory = directory

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
            for server in self._directory.of_service(service)
            if not server.is_leaving and server.id not in tried
        ]
