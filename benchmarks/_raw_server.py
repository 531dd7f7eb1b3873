"""Backend server on raw sockets, cheap enough not to limit a proxy.

Run as ``python -m benchmarks._raw_server --id=... --service=... --listen=...``.
A connection whose first request is a control request is served by the
stand-in.
"""

import sys

import trio

from carobwalk.model import ServerId, ServiceName, SuspendAwareClock
from standins.backend import (
    BackendSettings,
    BackendState,
    make_state,
    serve_connection,
)

_RECEIVE_BYTES = 65_536
_HEAD_END = b'\r\n\r\n'
_BODY = b'x' * 200
_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 200\r\n\r\n%b' % _BODY
_CONTROL = b'POST /_control'


class _ReplayStream(trio.abc.Stream):
    """Stream that first returns bytes that were already read from it."""

    def __init__(self, start: bytes, stream: trio.SocketStream) -> None:
        self._start = start
        self._stream = stream

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        if self._start:
            start = self._start
            self._start = b''
            return start
        return bytes(await self._stream.receive_some(max_bytes))

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        await self._stream.aclose()


class RawServer:
    """Answers requests without a body, and passes on control requests.

    Args:
        state: State of the stand-in that answers control requests.
    """

    def __init__(self, state: BackendState) -> None:
        self._state = state

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        start = bytes(await stream.receive_some(_RECEIVE_BYTES))
        if start.startswith(_CONTROL):
            replay = _ReplayStream(start, stream)
            await serve_connection(self._state, replay)
            return
        try:
            await self._answer_requests(start, stream)
        except trio.BrokenResourceError:
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _answer_requests(
        self, received: bytes, stream: trio.SocketStream
    ) -> None:
        while received:
            while not received.endswith(_HEAD_END):
                received += await stream.receive_some(_RECEIVE_BYTES)
            await stream.send_all(_ANSWER)
            received = bytes(await stream.receive_some(_RECEIVE_BYTES))


async def _serve(options: dict[str, str]) -> None:
    settings = BackendSettings(
        server=ServerId(options['--id']),
        service=ServiceName(options['--service']),
        checks_grants=False,
    )
    server = RawServer(make_state(settings, SuspendAwareClock()))
    host, _, port = options['--listen'].rpartition(':')
    await trio.serve_tcp(server.serve, int(port), host=host)


if __name__ == '__main__':
    pairs = (option.partition('=') for option in sys.argv[1:])
    trio.run(_serve, {name: text for name, _, text in pairs})
