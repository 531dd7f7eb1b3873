"""Tests of the directory of backend servers."""

import pytest
import trio
from trio.testing import MockClock

from carobwalk.directory import ServerDirectory
from carobwalk.events import NullEventLog
from carobwalk.model import TrioClock
from tests.keyspace.simulated_fleet import SERVICE, make_server


@pytest.fixture
def directory() -> ServerDirectory:
    """Return an empty directory."""
    return ServerDirectory(TrioClock(), NullEventLog())


def ids(directory: ServerDirectory) -> set[str]:
    """Return the ids of all servers of the service."""
    return {server.id for server in directory.of_service(SERVICE)}


def register_two(directory: ServerDirectory) -> None:
    """Register the servers 1 and 2."""
    for number in (1, 2):
        directory.put(make_server(number), 1)


class TestServerDirectory:
    def test_removed(self, directory, virtual_clock: MockClock) -> None:
        """A server whose entry is removed is leaving first, then removed."""

        async def body() -> None:
            server = make_server(1)
            directory.put(server, 1)
            directory.remove(server.id, 'test')
            assert directory.get(server.id).is_leaving
            assert directory.accepts_keyed_requests(server)
            await trio.sleep(1.3)
            assert not directory.accepts_keyed_requests(server)
            directory.expire()
            assert ids(directory) == set()

        trio.run(body, clock=virtual_clock)

    def test_missing_after_outage(
        self,
        directory,
        virtual_clock: MockClock,
    ) -> None:
        """After an outage, missing servers have 2 s to register again."""

        async def body() -> None:
            register_two(directory)
            directory.load([(make_server(1), 2)], after_outage=True)
            await trio.sleep(1.9)
            directory.expire()
            assert not directory.get('s2').is_leaving
            directory.put(make_server(2), 3)
            await trio.sleep(1)
            directory.expire()
            assert not directory.get('s2').is_leaving
            directory.load([(make_server(1), 4)], after_outage=True)
            await trio.sleep(2.1)
            directory.expire()
            assert directory.get('s2').is_leaving

        trio.run(body, clock=virtual_clock)

    def test_listed_twice_after_outage(
        self,
        directory,
        virtual_clock: MockClock,
    ) -> None:
        """A second listing does not shorten the time to register again."""

        async def body() -> None:
            register_two(directory)
            directory.load([(make_server(1), 2)], after_outage=True)
            await trio.sleep(1)
            directory.load([(make_server(1), 2)], after_outage=False)
            assert not directory.get('s2').is_leaving
            await trio.sleep(1.1)
            directory.expire()
            assert directory.get('s2').is_leaving

        trio.run(body, clock=virtual_clock)

    def test_missing_without_outage(
        self,
        directory,
        virtual_clock: MockClock,
    ) -> None:
        """Without an outage, a server that is not listed leaves at once."""

        async def body() -> None:
            register_two(directory)
            directory.load([(make_server(1), 2)], after_outage=False)
            assert directory.get('s2').is_leaving

        trio.run(body, clock=virtual_clock)

    def test_registered_after_removal(
        self,
        directory,
        virtual_clock: MockClock,
    ) -> None:
        """A server that registers again is no longer leaving."""

        async def body() -> None:
            directory.put(make_server(1), 1)
            directory.remove('s1', 'test')
            directory.put(make_server(1, born=2), 2)
            await trio.sleep(5)
            directory.expire()
            server = directory.get('s1')
            assert (server.born, server.is_leaving) == (2, False)
            assert directory.accepts_keyed_requests(server)

        trio.run(body, clock=virtual_clock)
