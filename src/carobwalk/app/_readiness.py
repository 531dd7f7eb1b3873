"""When a process is ready for callers."""

from typing import Final

from carobwalk.app._gateway_core import GatewayCore
from carobwalk.app._gateway_events import ReadinessChanged
from carobwalk.keyspace import KeyReader
from carobwalk.model import ServiceName

# Requests for services without keys don't wait longer for a division of keys
# that never comes.
_LONGEST_WAIT_SECONDS: Final = 5.0


class Readiness:
    """Tells whether a process has what it needs to answer callers.

    What it needed once and lost later doesn't count: it goes on with what it
    knows, as every other process does.

    Args:
        core: Parts of the process.
        reader: Knows who owns the keys.
    """

    def __init__(self, core: GatewayCore, reader: KeyReader) -> None:
        self._core = core
        self._reader = reader
        self._give_up_at = core.clock.now() + _LONGEST_WAIT_SECONDS
        self._has_started = False
        self._was_ready = False
        self.is_stopping = False

    def stop(self) -> None:
        """Take no more callers."""
        self.is_stopping = True
        self.check()

    def check(self) -> bool:
        """Return whether the process takes callers; log a change."""
        self._has_started = self._has_started or self._is_complete()
        is_ready = self._has_started and not self.is_stopping
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            self._core.events.emit(ReadinessChanged(is_ready=is_ready))
        return is_ready

    def _is_complete(self) -> bool:
        table = self._core.routes.table
        if table is None or not self._core.directory.is_loaded:
            return False
        if self._core.clock.now() >= self._give_up_at:
            return True
        return all(map(self._has_owners, table.configuration.keyed_services))

    def _has_owners(self, service: ServiceName) -> bool:
        """Return whether keys are divided as far as there are servers."""
        if self._reader.map_of(service) is not None:
            return True
        return not self._core.directory.of_service(service)
