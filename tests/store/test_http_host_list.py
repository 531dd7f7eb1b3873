"""Tests of ``HttpHostList`` against the stand-in of the host list."""

import msgspec
import pytest
import trio
from result import Err, Ok, Result
from trio.testing import MockClock

from carobwalk.http import HttpFailure, HttpRequest, HttpResponse, NoAnswer
from carobwalk.model import (
    Address,
    DataCentreName,
    Endpoint,
    RegionName,
    ServiceName,
)
from carobwalk.store import Host, HttpHostList
from standins.host_list_handler import HostListHandler
from standins.memory_host_list import MemoryHostList
from tests.store._senders import FixedSender, HandlerSender

ADDRESS = Address('127.0.0.1', 1)
HOST = Host(
    Endpoint(
        'server-1',
        Address('127.0.0.1', 1),
        RegionName('north'),
        DataCentreName('north-1'),
    ),
    service=ServiceName('tien-do'),
    leaving=False,
)


class TestHttpHostList:
    def test_read(self, virtual_clock: MockClock) -> None:
        """Reads reflect hosts that are added, marked as leaving and removed."""

        async def body() -> None:
            handler = HostListHandler(MemoryHostList())
            hosts = HttpHostList(HandlerSender(handler), ADDRESS)
            put = HttpRequest(
                'PUT',
                '/_control/hosts',
                body=msgspec.json.encode(HOST),
            )
            await handler(put)
            assert await hosts.read() == Ok((HOST,))
            await handler(HttpRequest('POST', '/_control/leaving/server-1'))
            assert (await hosts.read()).unwrap()[0].leaving
            await handler(HttpRequest('DELETE', '/_control/hosts/server-1'))
            assert await hosts.read() == Ok(())

        trio.run(body, clock=virtual_clock)

    @pytest.mark.parametrize(
        'result',
        [
            Err(NoAnswer('timeout')),
            Ok(HttpResponse(503)),
            Ok(HttpResponse(200, body=b'[{}]')),
            Ok(HttpResponse(200, body=b'[')),
            Ok(HttpResponse(200, body=b'[{"a":%s' % (b'[' * 20_000))),
        ],
    )
    def test_failures(
        self,
        result: Result[HttpResponse, HttpFailure],
    ) -> None:
        """A list that cannot be read is an error, never an empty list."""

        async def body() -> None:
            hosts = HttpHostList(FixedSender(result), ADDRESS)
            assert (await hosts.read()).is_err()

        trio.run(body)
