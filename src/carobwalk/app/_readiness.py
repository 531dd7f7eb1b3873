"""Readiness of a gateway process for callers."""

from typing import Final

from carobwalk.app._gateway_core import GatewayCore
from carobwalk.app._gateway_events import ReadinessChanged
from carobwalk.keyspace import KeyReader
from carobwalk.model import ServiceName

# Services without keys are served after this time even if the keys of another
# service are never assigned.
_KEY_MAP_TIMEOUT_SECONDS: Final = 5.0


class Readiness:
    """Readiness check for the load balancer.

    A process is ready once it has the routing configuration, the registry and
    the key maps. It then stays ready until it stops: if it loses contact with
    the store later, it goes on with the last known state, as every other
    process does.

    Args:
        core: Shared components of the process.
        reader: Last known key maps.
    """

    def __init__(self, core: GatewayCore, reader: KeyReader) -> None:
        self._core = core
        self._reader = reader
        self._key_map_deadline = core.clock.now() + _KEY_MAP_TIMEOUT_SECONDS
        self._was_initialised = False
        self._was_ready = False
        self.is_stopping = False

    def stop(self) -> None:
        """Report the process as not ready from now on."""
        self.is_stopping = True
        self.check()

    def check(self) -> bool:
        """Return whether the process accepts callers; log a change."""
        self._was_initialised = self._was_initialised or self._is_initialised()
        is_ready = self._was_initialised and not self.is_stopping
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            self._core.events.emit(ReadinessChanged(is_ready=is_ready))
        return is_ready

    def _is_initialised(self) -> bool:
        table = self._core.routes.table
        if table is None or not self._core.directory.is_loaded:
            return False
        if self._core.clock.now() >= self._key_map_deadline:
            return True
        return all(map(self._has_key_map, table.configuration.keyed_services))

    def _has_key_map(self, service: ServiceName) -> bool:
        """Return whether a service has a key map, or no servers to assign."""
        if self._reader.map_of(service) is not None:
            return True
        return not self._core.directory.of_service(service)
