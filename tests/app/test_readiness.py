"""Tests of the readiness check of a gateway process."""

from dataclasses import replace
from types import SimpleNamespace

from carobwalk.app._gateway_events import ReadinessChanged
from carobwalk.app._readiness import Readiness
from carobwalk.directory import ServerDirectory
from carobwalk.events import NullEventLog
from carobwalk.keyspace import KeyReader
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.model import ServiceName
from carobwalk.platform import decode_configuration
from carobwalk.routing import ActiveRoutes
from tests.gateway.harness import CONFIGURATION
from tests.keyspace.simulated_fleet import make_server
from tests.recording_log import RecordingLog

_KEYED = ServiceName('keyed')


class _Clock:
    """Clock that is set by the test."""

    seconds: float = 0

    def now(self) -> float:
        """Return the seconds that were set."""
        return self.seconds


class _ProcessState:
    """State that the readiness check depends on."""

    def __init__(self) -> None:
        self.clock = _Clock()
        self.events = RecordingLog()
        self.directory = ServerDirectory(self.clock, NullEventLog())
        self.directory.is_loaded = True
        self.routes = ActiveRoutes(NullEventLog())
        self.reader = KeyReader(NullEventLog())
        self.readiness = Readiness(
            SimpleNamespace(  # type: ignore[arg-type]
                clock=self.clock,
                events=self.events,
                directory=self.directory,
                routes=self.routes,
            ),
            self.reader,
        )

    def configure(self) -> None:
        """Apply a configuration with a keyed service."""
        self.routes.offer(decode_configuration(CONFIGURATION).ok_value, 1)

    def register_server(self) -> None:
        """Register a backend server of the keyed service."""
        self.directory.put(replace(make_server(1), service=_KEYED), 1)

    def assign_keys(self) -> None:
        """Receive a key map of the keyed service."""
        self.reader._maps_by_service[_KEYED] = KeyMap(())


class TestReadiness:
    def test_waits_for_configuration_and_registry(self) -> None:
        """No request can be served without configuration and registry."""
        process = _ProcessState()
        process.directory.is_loaded = False
        assert not process.readiness.check()
        process.configure()
        assert not process.readiness.check()
        process.directory.is_loaded = True
        assert process.readiness.check()

    def test_waits_for_key_maps(self) -> None:
        """Requests with a key would be refused before keys are assigned."""
        process = _ProcessState()
        process.configure()
        process.register_server()
        assert not process.readiness.check()
        process.assign_keys()
        assert process.readiness.check()

    def test_stops_waiting_for_key_maps(self) -> None:
        """Other services are served after 5 s if keys are never assigned."""
        process = _ProcessState()
        process.configure()
        process.register_server()
        process.clock.seconds = 4.9
        assert not process.readiness.check()
        process.clock.seconds = 5
        assert process.readiness.check()

    def test_stays_ready(self) -> None:
        """A new server without keys does not make a ready process unready."""
        process = _ProcessState()
        process.configure()
        assert process.readiness.check()
        process.register_server()
        assert process.readiness.check()

    def test_not_ready_while_stopping(self) -> None:
        """A stopping process is not ready; each change is logged once."""
        process = _ProcessState()
        process.configure()
        process.readiness.check()
        process.readiness.check()
        process.readiness.stop()
        assert not process.readiness.check()
        changes = process.events.named('ReadinessChanged')
        assert changes == [
            ReadinessChanged(is_ready=True),
            ReadinessChanged(is_ready=False),
        ]
