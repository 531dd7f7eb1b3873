"""Backend servers that may be sent a request."""

from collections.abc import Callable
from typing import Final

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway.choice._region_rules import RegionRules
from carobwalk.gateway.choice._target import NoTarget
from carobwalk.model import ServerId, ServiceName

# Proposed to callers where only the operator or a new server can help.
_LOCATION_RETRY_SECONDS: Final = 1.0
_EVACUATED: Final = 'all backend servers are in evacuated data centres'
_OUTSIDE: Final = 'no backend server is in the allowed regions'


class CandidateServers:
    """Selects the servers of a service that no rule excludes.

    Their load is not considered. Cold servers are left out.

    Args:
        directory: Registered backend servers.
        is_cold: Returns whether the requests to a server are limited because
            it is cold.
        regions: Limits servers by their regions.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        is_cold: Callable[[BackendServer], bool],
        regions: RegionRules | None = None,
    ) -> None:
        self._directory = directory
        self._is_cold = is_cold
        self._regions = regions or RegionRules()

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

    def accepts(
        self,
        request: CallerRequest,
        tried: frozenset[ServerId],
        server: BackendServer,
    ) -> bool:
        """Return whether ``find`` would select a registered server.

        Args:
            request: The request.
            tried: Servers that the request was sent to before.
            server: The server.
        """
        return (
            not server.is_leaving
            and server.id not in tried
            and not self._is_cold(server)
            and self.permits(request, server, is_keyed=False)
        )

    def permitted(
        self,
        service: ServiceName,
        request: CallerRequest,
        tried: frozenset[ServerId],
    ) -> list[BackendServer]:
        """Return the servers that may be sent a request, cold ones too."""
        regions = self._regions.allowed(request)
        evacuated = self._directory.evacuations.data_centres
        return [
            server
            for server in self._directory.of_service(service)
            if not server.is_leaving
            and server.id not in tried
            and server.data_centre not in evacuated
            and (regions is None or self._regions.contain(regions, server))
        ]

    def permits(
        self, request: CallerRequest, server: BackendServer, *, is_keyed: bool
    ) -> bool:
        """Return whether the location of a server permits a request now.

        Args:
            request: The request.
            server: Server that was chosen for it.
            is_keyed: Whether the server was chosen as the owner of a key.
        """
        evacuations = self._directory.evacuations
        data_centre = server.data_centre
        if is_keyed:
            may_get = evacuations.accepts_keyed_requests(data_centre)
        else:
            may_get = not evacuations.is_evacuated(data_centre)
        return may_get and self.is_in_region(request, server)

    def is_in_region(
        self, request: CallerRequest, server: BackendServer
    ) -> bool:
        """Return whether the route of a request allows a server's region."""
        regions = self._regions.allowed(request)
        return self._regions.contain(regions, server)

    def refusal(
        self, service: ServiceName, request: CallerRequest
    ) -> NoTarget | None:
        """Return why the locations of all servers exclude a request, if so.

        A service without servers, or with leaving ones only, is not excluded
        by its locations; nor is one whose servers are all cold.
        """
        staying = [
            server
            for server in self._directory.of_service(service)
            if not server.is_leaving
        ]
        if not staying or self.permitted(service, request, frozenset()):
            return None
        regions = self._regions.allowed(request)
        is_outside = not any(
            self._regions.contain(regions, server) for server in staying
        )
        detail = _OUTSIDE if is_outside else _EVACUATED
        return NoTarget(detail, _LOCATION_RETRY_SECONDS)
