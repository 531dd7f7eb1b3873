"""Request rates of the keys of all services."""

from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._load_report import ServiceLoad
from carobwalk.model import Clock, ServiceName


class KeyLoads:
    """Request rates of keys by service.

    Args:
        clock: Clock of the counts.
        window: Window of the counts in seconds, ``None`` for one that is
            fitted to the number of servers.
    """

    def __init__(self, clock: Clock, window: float | None = None) -> None:
        self._clock = clock
        self._window = window
        self._by_service: dict[ServiceName, KeyLoad] = {}

    def of(self, service: ServiceName) -> KeyLoad:
        """Return the request rates of the keys of a service."""
        load = self._by_service.get(service)
        if load is None:
            now = self._clock.now()
            load = KeyLoad(now, self._window) if self._window else KeyLoad(now)
            self._by_service[service] = load
        return load

    def add(self, load: ServiceLoad) -> None:
        """Add the requests of a report."""
        self.of(ServiceName(load.service)).add(load.counts)
