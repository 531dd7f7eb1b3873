"""Pass-through proxy built from trio and h11 only, as a baseline.

Run as ``python -m benchmarks._bare_proxy LISTEN TARGET``.
"""

import sys
from functools import partial

import h11
import trio

_RECEIVE_BYTES = 65_536


class _HttpConnection:
    """HTTP connection to the caller or to the server."""

    def __init__(self, stream: trio.SocketStream, role: type) -> None:
        self.stream = stream
        self.protocol = h11.Connection(role)

    async def receive(self) -> h11.Event:
        while True:
            event = self.protocol.next_event()
            if isinstance(event, h11.Event):
                return event
            chunk = await self.stream.receive_some(_RECEIVE_BYTES)
            self.protocol.receive_data(bytes(chunk))

    async def send(self, event: h11.Event) -> None:
        await self.stream.send_all(self.protocol.send(event) or b'')


async def _forward_message(
    source: _HttpConnection, sink: _HttpConnection
) -> bool:
    """Forward one message; return whether there was one."""
    event = await source.receive()
    if not isinstance(event, h11.Request | h11.Response):
        return False
    while not isinstance(event, h11.EndOfMessage):
        await sink.send(event)
        event = await source.receive()
    await sink.send(event)
    return True


async def _serve_caller(
    host: str,
    port: int,
    stream: trio.SocketStream,
) -> None:
    caller = _HttpConnection(stream, h11.SERVER)
    server = _HttpConnection(await trio.open_tcp_stream(host, port), h11.CLIENT)
    try:
        while await _forward_message(caller, server):
            await _forward_message(server, caller)
            caller.protocol.start_next_cycle()
            server.protocol.start_next_cycle()
    except (trio.BrokenResourceError, h11.ProtocolError):
        return
    finally:
        await trio.aclose_forcefully(server.stream)
        await trio.aclose_forcefully(caller.stream)


async def _serve() -> None:
    listen, target = sys.argv[1:]
    listen_host, _, listen_port = listen.rpartition(':')
    host, _, port = target.rpartition(':')
    handler = partial(_serve_caller, host, int(port))
    await trio.serve_tcp(handler, int(listen_port), host=listen_host)


if __name__ == '__main__':
    trio.run(_serve)
