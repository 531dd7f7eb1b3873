"""Mean number of requests in flight at each backend server."""

from carobwalk.directory import BackendServer, ServerIncarnation
from carobwalk.model import ServiceName


class _Integral:
    """Integral over time of the number of requests in flight."""

    __slots__ = ('count', 'seconds', 'updated_at')

    def __init__(self, now: float) -> None:
        self.count = 0
        self.seconds: float = 0
        self.updated_at = now

    def advance(self, now: float) -> None:
        self.seconds += self.count * (now - self.updated_at)
        self.updated_at = now


class InFlightIntegrals:
    """Integrates the requests in flight at each server between reports."""

    def __init__(self) -> None:
        self._integrals: dict[
            ServiceName, dict[ServerIncarnation, _Integral]
        ] = {}
        self._started_at: float | None = None

    def add(self, server: BackendServer, change: int, now: float) -> None:
        """Change the number of requests in flight at a server."""
        if self._started_at is None:
            self._started_at = now
        integrals = self._integrals.setdefault(server.service, {})
        integral = integrals.get(server.incarnation)
        if integral is None:
            integral = _Integral(now)
            integrals[server.incarnation] = integral
        integral.advance(now)
        integral.count += change

    def counts(self) -> dict[ServerIncarnation, int]:
        """Return the requests in flight now, of servers that have any."""
        return {
            incarnation: integral.count
            for integrals in self._integrals.values()
            for incarnation, integral in integrals.items()
            if integral.count
        }

    def pop_means(
        self, now: float
    ) -> dict[ServiceName, dict[ServerIncarnation, float]]:
        """Return the mean numbers since the last call.

        Servers without a request in that time are left out.
        """
        started_at = self._started_at
        self._started_at = now
        if started_at is None or started_at >= now:
            return {}
        length = now - started_at
        return {
            service: _pop_service(integrals, now, length)
            for service, integrals in self._integrals.items()
        }


def _pop_service(
    integrals: dict[ServerIncarnation, _Integral], now: float, length: float
) -> dict[ServerIncarnation, float]:
    means = {}
    for incarnation, integral in tuple(integrals.items()):
        integral.advance(now)
        if integral.seconds:
            means[incarnation] = integral.seconds / length
        integral.seconds = 0
        if not integral.count:
            integrals.pop(incarnation)
    return means
