"""A fault of the program on one connection."""

from dataclasses import replace

import trio

from carobwalk.gateway import GatewayServer
from tests.gateway.scene import GatewayScene
from tests.keyspace.simulated_fleet import RecordingLog


class Broken:
    """Forwarder with a fault."""

    async def run(self, request, progress):
        """Fail as a fault of the program does."""
        raise ZeroDivisionError('fault')


class TestCrashedConnection:
    def test_others_go_on(self) -> None:
        """The connection ends with a line in the log; the process goes on."""

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                scene = GatewayScene(nursery)
                log = RecordingLog()
                service = replace(
                    scene.server._service,
                    forwarder=Broken(),
                    events=log,
                )
                scene.server = GatewayServer(service, 10)
                await scene.start()
                for _ in range(2):
                    http = await scene.open()
                    await http.stream.send_all(
                        b'GET /reads/a HTTP/1.1\r\nhost: a.example\r\n\r\n',
                    )
                    assert not await http.stream.receive_some(100)
                assert len(log.named('ConnectionCrashed')) == 2
                nursery.cancel_scope.cancel()

        trio.run(body)
