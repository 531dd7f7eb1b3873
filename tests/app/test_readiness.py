"""Tests of the moment from which a process takes callers."""

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
from carobwalk.routing import RoutesInForce
from tests.gateway.scene import CONFIGURATION
from tests.keyspace.simulated_fleet import RecordingLog, make_server

_KEYED = ServiceName('keyed')


class _Clock:
    """Clock that a test sets."""

    seconds: float = 0

    def now(self) -> float:
        """Return the seconds that were set."""
        return self.seconds


class _Process:
    """What readiness looks at."""

    def __init__(self) -> None:
        self.clock = _Clock()
        self.events = RecordingLog()
        self.directory = ServerDirectory(self.clock, NullEventLog())
        self.directory.is_loaded = True
        self.routes = RoutesInForce(NullEventLog())
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
        """Bring a configuration with a keyed service in force."""
        self.routes.offer(decode_configuration(CONFIGURATION).ok_value, 1)

    def add_server(self) -> None:
        """Register a server that waits for keys."""
        self.directory.put(replace(make_server(1), service=_KEYED), 1)

    def divide_keys(self) -> None:
        """Learn of a map."""
        self.reader._maps_by_service[_KEYED] = KeyMap(())


class TestReadiness:
    def test_waits_for_routes_and_servers(self) -> None:
        """Without them no request could be served."""
        process = _Process()
        process.directory.is_loaded = False
        assert not process.readiness.check()
        process.configure()
        assert not process.readiness.check()
        process.directory.is_loaded = True
        assert process.readiness.check()

    def test_waits_for_the_division_of_keys(self) -> None:
        """Requests for keys would be refused before."""
        process = _Process()
        process.configure()
        process.add_server()
        assert not process.readiness.check()
        process.divide_keys()
        assert process.readiness.check()

    def test_does_not_wait_for_ever(self) -> None:
        """Other services are served when keys are never divided."""
        process = _Process()
        process.configure()
        process.add_server()
        process.clock.seconds = 4.9
        assert not process.readiness.check()
        process.clock.seconds = 5
        assert process.readiness.check()

    def test_stays_ready(self) -> None:
        """New keyed servers don't take a running process out."""
        process = _Process()
        process.configure()
        assert process.readiness.check()
        process.add_server()
        assert process.readiness.check()

    def test_is_not_ready_while_it_stops(self) -> None:
        """Each change is told once."""
        process = _Process()
        process.configure()
        process.readiness.check()
        process.readiness.check()
        process.readiness.stop()
        assert not process.readiness.check()
        told = process.events.named('ReadinessChanged')
        assert told == [
            ReadinessChanged(is_ready=True),
            ReadinessChanged(is_ready=False),
        ]
