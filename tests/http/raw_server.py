"""Server on loopback that sends prepared bytes, valid HTTP or not."""

import enum
from dataclasses import dataclass

import trio

from carobwalk.http import reset_on_close

_RECEIVE_BYTES = 65_536


class Ending(enum.Enum):
    """What a raw server does after its prepared bytes."""

    CLOSE = 'close'
    RESET = 'reset'
    WAIT = 'wait'
    REPEAT = 'repeat'


@dataclass(frozen=True)
class Script:
    """Bytes that a raw server sends in response to each request.

    Args:
        first: Bytes that are sent once.
        ending: What the server does afterwards.
        repeated: Bytes that are sent without end if the ending is ``REPEAT``.
        pause_seconds: Time between two repetitions.
    """

    first: bytes
    ending: Ending = Ending.WAIT
    repeated: bytes = b''
    pause_seconds: float = 0


class RawServer:
    """Answers each request with the bytes of a script.

    Args:
        scripts: Script of each request, in the order of arrival; the last one
            is also that of all further requests.
    """

    def __init__(self, *scripts: Script) -> None:
        self.scripts = scripts
        self.port = 0
        self.connections = 0
        self.requests: list[bytes] = []
        self.sent_bytes = 0
        # Set when a connection has ended.
        self.closed = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen on a free port of loopback."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        try:
            await self._answer(stream)
        except trio.BrokenResourceError:
            pass  # The client has closed the connection.
        finally:
            self.closed.set()
            await trio.aclose_forcefully(stream)

    async def _answer(self, stream: trio.SocketStream) -> None:
        while True:
            received = await stream.receive_some(_RECEIVE_BYTES)
            if not received:
                return
            index = min(len(self.requests), len(self.scripts) - 1)
            script = self.scripts[index]
            self.requests.append(bytes(received))
            await self._send(stream, script.first)
            if script.ending is Ending.REPEAT:
                await self._repeat(stream, script)
            if script.ending is Ending.RESET:
                reset_on_close(stream)
            if script.ending is not Ending.WAIT:
                return

    async def _repeat(self, stream: trio.SocketStream, script: Script) -> None:
        while True:
            await self._send(stream, script.repeated)
            await trio.sleep(script.pause_seconds)

    async def _send(self, stream: trio.SocketStream, chunk: bytes) -> None:
        await stream.send_all(chunk)
        self.sent_bytes += len(chunk)
