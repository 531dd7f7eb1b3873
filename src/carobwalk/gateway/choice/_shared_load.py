"""Load of backend servers as all processes together observe it."""

import math
from typing import Final

import trio

from carobwalk.directory import BackendServer, ServerIncarnation
from carobwalk.gateway.choice._in_flight_integrals import InFlightIntegrals
from carobwalk.gateway.choice._load_digest import (
    ServerEstimate,
    decode_digest,
    incarnation_hash,
)
from carobwalk.model import ServiceName

# Digests arrive every 0.5 s. In trials, choices by one 2 s old were late seven
# times as often (0.142 against 0.020): all processes chose the same servers.
_FULL_WEIGHT_SECONDS: Final = 0.75
_MAX_AGE_SECONDS: Final = 1.5


class SharedLoad:
    """Last digest of the coordinator, and own requests since it came."""

    def __init__(self) -> None:
        self._integrals = InFlightIntegrals()
        self._estimates: dict[int, ServerEstimate] = {}
        self._own_at_digest: dict[ServerIncarnation, int] = {}
        self._received_at = -math.inf

    @property
    def age(self) -> float:
        """Seconds since the last digest was received, infinite without one."""
        return trio.current_time() - self._received_at

    @property
    def server_count(self) -> int:
        """Number of servers in the last digest."""
        return len(self._estimates)

    @property
    def weight(self) -> float:
        """Share of the choices that the digest decides, by its age."""
        left = _MAX_AGE_SECONDS - self.age
        return min(max(left / (_MAX_AGE_SECONDS - _FULL_WEIGHT_SECONDS), 0), 1)

    def add(self, server: BackendServer, change: int) -> None:
        """Record that requests at a server have begun or ended."""
        self._integrals.add(server, change, trio.current_time())

    def pop_means(self) -> dict[ServiceName, dict[ServerIncarnation, float]]:
        """Return the mean requests in flight since the last call."""
        return self._integrals.pop_means(trio.current_time())

    def counts(self) -> dict[ServerIncarnation, int]:
        """Return the requests in flight now, of servers that have any."""
        return self._integrals.counts()

    def apply(self, digest: bytes) -> bool:
        """Apply a digest; return whether it could be decoded."""
        estimates = decode_digest(digest)
        if estimates is None:
            return False
        self._estimates = estimates
        self._own_at_digest = self._integrals.counts()
        self._received_at = trio.current_time()
        return True

    def estimate(self, server: BackendServer) -> ServerEstimate | None:
        """Return the estimate of a server, ``None`` if the digest has none."""
        return self._estimates.get(incarnation_hash(server.incarnation))

    def in_flight(
        self, server: BackendServer, estimate: ServerEstimate, own: int
    ) -> float:
        """Return the requests of all processes at a server.

        Args:
            server: The server.
            estimate: Its estimate in the digest.
            own: Requests of this process at the server now.
        """
        own_since = own - self._own_at_digest.get(server.incarnation, 0)
        return max(estimate.in_flight + own_since, own)
