"""Servers that are slow for a time by their entries."""

from dataclasses import replace

import pytest
import trio
from trio.testing import MockClock

from carobwalk.directory import (
    ServerChanged,
    ServerCold,
    ServerDirectory,
    ServerIncarnation,
    ServerWarm,
)
from carobwalk.model import ServerId, TrioClock
from tests.keyspace.simulated_fleet import make_server
from tests.recording_log import RecordingLog

HEARTBEAT_SECONDS = 0.9
S0 = ServerIncarnation(ServerId('s0'), 1)


class _Registry:
    """Directory that gets a server's entry again and again."""

    def __init__(self) -> None:
        self.log = RecordingLog()
        self.directory = ServerDirectory(TrioClock(), self.log)
        self.revision = 0

    def put(self, warmup_left: float | None, born: int = 1) -> None:
        self.revision += 1
        self.put_again(warmup_left, born)

    def put_again(self, warmup_left: float | None, born: int = 1) -> None:
        """Put an entry with the last revision."""
        server = replace(make_server(0, born), warmup_left=warmup_left)
        self.directory.put(server, self.revision)

    def events(self) -> list[type]:
        self.directory.expire()
        return [type(event) for event in self.log.events]

    @property
    def seconds_left(self) -> float:
        return self.directory.cold.seconds_left(S0)


@pytest.fixture
def run(virtual_clock: MockClock):
    """Return a function that runs a scenario on a virtual clock."""

    def run_scenario(scenario) -> None:
        async def main() -> None:
            await scenario(_Registry())

        trio.run(main, clock=virtual_clock)

    return run_scenario


class TestColdServers:
    def test_rewritten_entry(self, run) -> None:
        """A heartbeat that only changes the time left logs and wakes nothing.

        Guards against a log line and a wake-up of all waiters per server and
        0.9 s.
        """

        async def scenario(registry: _Registry) -> None:
            registry.put(9)
            changed = registry.directory.changed
            for beat in range(1, 10):
                await trio.sleep(HEARTBEAT_SECONDS)
                left = 9 - beat * HEARTBEAT_SECONDS
                registry.put(left)
                assert registry.seconds_left == pytest.approx(left)
                assert registry.events() == [ServerCold, ServerChanged]
            assert not changed.is_set()
            await trio.sleep(HEARTBEAT_SECONDS)
            expected = [ServerCold, ServerChanged, ServerWarm]
            assert registry.events() == expected
            assert not registry.seconds_left

        run(scenario)

    def test_later(self, run) -> None:
        """A server may become cold long after its start, and again."""

        async def scenario(registry: _Registry) -> None:
            for _ in range(2):
                registry.put(0)
                assert not registry.seconds_left
                await trio.sleep(30)
                registry.put(2)
                assert registry.seconds_left == 2
                assert registry.directory.cold.all_cold()
                await trio.sleep(3)
                registry.directory.expire()
            cold = [
                event
                for event in registry.log.events
                if not isinstance(event, ServerChanged)
            ]
            assert [type(event) for event in cold] == [
                ServerCold,
                ServerWarm,
                ServerCold,
                ServerWarm,
            ]

        run(scenario)

    def test_same_revision(self, run) -> None:
        """An entry listed again after an outage doesn't extend the time."""

        async def scenario(registry: _Registry) -> None:
            registry.put(4)
            await trio.sleep(3)
            registry.put_again(4)
            assert registry.seconds_left == pytest.approx(1)
            await trio.sleep(10)
            registry.events()
            registry.put_again(4)
            assert not registry.seconds_left

        run(scenario)

    def test_bad_value(self, run) -> None:
        """An entry whose time left is invalid changes nothing that is known."""

        async def scenario(registry: _Registry) -> None:
            registry.put(4)
            await trio.sleep(1)
            registry.put(None)
            assert registry.seconds_left == pytest.approx(3)

        run(scenario)

    def test_restart(self, run) -> None:
        """The time belongs to one incarnation."""

        async def scenario(registry: _Registry) -> None:
            registry.put(4)
            registry.put(0, born=2)
            assert not registry.seconds_left
            assert not registry.directory.cold.all_cold()

        run(scenario)

    def test_removed(self, run) -> None:
        """A server whose entry is gone isn't kept."""

        async def scenario(registry: _Registry) -> None:
            registry.put(40)
            registry.directory.remove(ServerId('s0'), 'test')
            await trio.sleep(3)
            registry.directory.expire()
            assert not registry.directory.cold.all_cold()

        run(scenario)
