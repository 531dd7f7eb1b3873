"""Tests of unexpected exceptions while a connection is served."""

from dataclasses import replace

import trio

from carobwalk.gateway import GatewayServer
from tests.gateway.harness import GatewayHarness
from tests.recording_log import RecordingLog


class BrokenForwarder:
    """Forwarder that raises an unexpected exception."""

    async def run(self, request, progress):
        """Raise an exception that the gateway does not expect."""
        raise ZeroDivisionError('fault')


class TestCrashedConnection:
    def test_other_connections_continue(self) -> None:
        """An exception ends its connection and is logged; others continue."""

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                harness = GatewayHarness(nursery)
                log = RecordingLog()
                service = replace(
                    harness.server._service,
                    forwarder=BrokenForwarder(),
                    events=log,
                )
                harness.server = GatewayServer(service, 10)
                await harness.start()
                for _ in range(2):
                    http = await harness.open()
                    await http.stream.send_all(
                        b'GET /reads/a HTTP/1.1\r\nhost: a.example\r\n\r\n',
                    )
                    assert not await http.stream.receive_some(100)
                assert len(log.named('ConnectionCrashed')) == 2
                nursery.cancel_scope.cancel()

        trio.run(body)
