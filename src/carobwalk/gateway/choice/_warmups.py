"""Admission of requests to servers that are cold."""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Final

import trio

from carobwalk.directory import (
    BackendServer,
    ServerDirectory,
    ServerIncarnation,
)
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway.choice._cold_draw import draw_server
from carobwalk.gateway.choice._warmup_caps import WarmupCaps
from carobwalk.gateway.choice._warmup_shares import WarmupShares
from carobwalk.model import ServiceName

# Within this time a share usually comes, or another server owns the key.
_MAX_RETRY_SECONDS: Final = 2.0
_MIN_RETRY_SECONDS: Final = 0.2
_MIN_SHARE: Final = 0.01


def never_limited(service: ServiceName) -> bool:
    """Return that cold servers of a service are not limited."""
    return False


class Warmups:
    """Admits a share of the requests to each cold server.

    Each request has one random number for all its attempts. It is compared
    with the shares of the servers, so that a request that is sent again or
    waits isn't drawn again.

    Args:
        directory: Registered backend servers; tells which are cold.
        is_limited: Returns whether the cold servers of a service are limited.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        is_limited: Callable[[ServiceName], bool] = never_limited,
    ) -> None:
        self._directory = directory
        self._is_limited = is_limited
        self._shares = WarmupShares()
        self._caps = WarmupCaps()
        self.sent_by_service: Counter[ServiceName] = Counter()
        self.capped_by_service: Counter[ServiceName] = Counter()

    def replace(self, shares: Mapping[ServerIncarnation, float]) -> None:
        """Replace the shares of cold servers by those that were told now."""
        self._shares.replace(shares)
        cold = self._directory.cold
        self._caps.retain(
            lambda server: server in shares or cold.seconds_left(server) > 0
        )

    def is_cold(self, server: BackendServer) -> bool:
        """Return whether the requests to a server are limited now.

        The coordinator may know of a cold server before this process does.
        """
        if self._shares.find(server.incarnation) is not None:
            return True
        is_cold = self._directory.cold.seconds_left(server.incarnation) > 0
        return is_cold and self._is_limited(server.service)

    def awaits_share(self, server: BackendServer) -> bool:
        """Return whether a server is cold and has no share."""
        share = self._shares.find(server.incarnation)
        return share is None and self.is_cold(server)

    def share_of(self, server: BackendServer) -> float | None:
        """Return the share of a cold server, ``None`` without one."""
        return self._shares.find(server.incarnation)

    def refuses(self, server: BackendServer, request: CallerRequest) -> bool:
        """Decide whether to refuse a request for a key of a server.

        Args:
            server: Owner of the key.
            request: The request.
        """
        if not self.is_cold(server):
            return False
        self._caps.of(server.incarnation).ask(trio.current_time())
        return request.draw >= self._shares.of(server.incarnation)

    def admit(self, server: BackendServer, request: CallerRequest) -> bool:
        """Admit a request for a key that is about to be sent, if it may be.

        Args:
            server: Owner of the key.
            request: The request.
        """
        if not self.is_cold(server):
            return True
        if request.draw >= self._shares.of(server.incarnation):
            return False
        return self.take(server)

    def choose(
        self, service: ServiceName, request: CallerRequest
    ) -> BackendServer | None:
        """Return the cold server that a request without a key may go to.

        Args:
            service: Service that runs the request.
            request: The request.
        """
        shares_by_server = {}
        now = trio.current_time()
        for incarnation in self._shares:
            server = self._directory.get(incarnation.server)
            if server is None or server.service != service:
                continue
            if server.incarnation == incarnation:
                self._caps.of(incarnation).ask(now)
                shares_by_server[server] = self._shares.of(incarnation)
        return draw_server(shares_by_server, request.draw)

    def take(self, server: BackendServer) -> bool:
        """Count a request that is about to be sent to a cold server.

        Returns:
            Whether the limit of this process allows it.
        """
        is_allowed = self._caps.of(server.incarnation).take(
            trio.current_time(), self._shares.of(server.incarnation)
        )
        counts = self.sent_by_service if is_allowed else self.capped_by_service
        counts[server.service] += 1
        return is_allowed

    def retry_seconds(self, server: BackendServer, latency: float) -> float:
        """Return when a refused caller should come back.

        Args:
            server: The cold server.
            latency: Expected latency of a request in seconds.
        """
        seconds = _MAX_RETRY_SECONDS
        share = self._shares.of(server.incarnation)
        if share:
            seconds = min(latency / max(share, _MIN_SHARE), seconds)
        left = self._directory.cold.seconds_left(server.incarnation)
        return max(min(seconds, left or seconds), _MIN_RETRY_SECONDS)
