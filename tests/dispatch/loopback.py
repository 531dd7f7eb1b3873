"""Scripted backend server on the loopback interface."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import h11
import trio

from carobwalk.model import Address, DataCentreName, Endpoint, RegionName

Script = Callable[['Received', trio.SocketStream], Awaitable[None]]


@dataclass
class Received:
    """A request as the server received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b''
    connection: int = 0


@dataclass
class LoopbackServer:
    """Runs a script for each complete request."""

    script: Script
    received: list[Received] = field(default_factory=list)
    connections: int = 0
    open_connections: int = 0
    endpoint: Endpoint = field(init=False)

    async def serve(
        self,
        task_status: trio.TaskStatus[Endpoint] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        self.endpoint = Endpoint(
            name='server-1',
            address=Address('127.0.0.1', port),
            region=RegionName('north'),
            data_centre=DataCentreName('north-1'),
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, self._handle, listeners)
            task_status.started(self.endpoint)

    async def _handle(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        self.open_connections += 1
        try:
            await self._serve_requests(stream, self.connections)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except h11.RemoteProtocolError:
            pass
        finally:
            self.open_connections -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_requests(
        self,
        stream: trio.SocketStream,
        number: int,
    ) -> None:
        while True:
            request = await _receive(stream)
            if request is None:
                return
            request.connection = number
            self.received.append(request)
            await self.script(request, stream)


async def _receive(stream: trio.SocketStream) -> Received | None:
    protocol = h11.Connection(h11.SERVER)
    request: Received | None = None
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(65536))
        elif isinstance(event, h11.Request):
            request = _request_of(event)
        elif isinstance(event, h11.Data) and request is not None:
            request.body += bytes(event.data)
        else:
            return request


def _request_of(event: h11.Request) -> Received:
    return Received(
        method=event.method.decode(),
        target=event.target.decode(),
        headers={
            name.decode(): value.decode() for name, value in event.headers
        },
    )


async def respond_ok(request: Received, stream: trio.SocketStream) -> None:
    """Respond with the body of the request."""
    size = len(request.body)
    head = f'HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n'.encode()
    await stream.send_all(head + request.body)


@asynccontextmanager
async def serving(script: Script = respond_ok) -> AsyncIterator[LoopbackServer]:
    """Run a server within the block."""
    server = LoopbackServer(script)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve)
        yield server
        nursery.cancel_scope.cancel()


def http_head(*lines: str) -> bytes:
    """Return an HTTP head."""
    return '\r\n'.join((*lines, '', '')).encode()
