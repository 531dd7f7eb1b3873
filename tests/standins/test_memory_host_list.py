"""Tests of the in-memory host list."""

import trio
from result import Ok
from trio.testing import MockClock

from carobwalk.model import (
    Address,
    DataCentreName,
    Endpoint,
    RegionName,
)
from carobwalk.store import Host
from standins.memory_host_list import MemoryHostList

HOST = Host(
    Endpoint(
        'server-1',
        Address('127.0.0.1', 1),
        RegionName('north'),
        DataCentreName('north-1'),
    ),
    service=None,
    leaving=False,
)


class TestMemoryHostList:
    def test_lag(self, virtual_clock: MockClock) -> None:
        """A change becomes visible to readers after the lag."""

        async def body() -> None:
            hosts = MemoryHostList(lag=5)
            hosts.put(HOST)
            assert await hosts.read() == Ok(())
            await trio.sleep(5)
            assert await hosts.read() == Ok((HOST,))
            hosts.mark_leaving('server-1')
            await trio.sleep(6)
            assert (await hosts.read()).unwrap()[0].leaving
            hosts.remove('server-1')
            assert (await hosts.read()).unwrap()
            await trio.sleep(6)
            assert await hosts.read() == Ok(())

        trio.run(body, clock=virtual_clock)

    def test_down(self, virtual_clock: MockClock) -> None:
        """Reading a host list that is down returns an error."""

        async def body() -> None:
            hosts = MemoryHostList()
            hosts.down = True
            assert (await hosts.read()).is_err()

        trio.run(body, clock=virtual_clock)
