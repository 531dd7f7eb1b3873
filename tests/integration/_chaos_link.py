"""TCP link that delays bytes and breaks off."""

import random
from dataclasses import dataclass

import trio

from carobwalk.model import Address

_RECEIVE_BYTES = 16_384


@dataclass(slots=True)
class ChaosLink:
    """Passes bytes on between callers of its address and a target.

    Args:
        target: Where the bytes go.
        chooser: Source of delays and breaks.
        break_share: Share of the parts at which the connection breaks.
        longest_delay: Longest delay of a part, in seconds.
        breaks: Count of broken connections.
    """

    target: Address
    chooser: random.Random
    break_share: float
    longest_delay: float
    breaks: int = 0

    async def serve(
        self,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Pass bytes on until cancelled; the status tells the address."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        task_status.started(Address('127.0.0.1', port))
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, near: trio.SocketStream) -> None:
        far = await trio.open_tcp_stream(self.target.host, self.target.port)
        async with near, far, trio.open_nursery() as nursery:
            nursery.start_soon(self._pass, near, far, nursery.cancel_scope)
            nursery.start_soon(self._pass, far, near, nursery.cancel_scope)

    async def _pass(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while part := await source.receive_some(_RECEIVE_BYTES):
                await trio.sleep(self.chooser.random() * self.longest_delay)
                if self.chooser.random() < self.break_share:
                    self.breaks += 1
                    part = part[: self.chooser.randrange(len(part))]
                    await sink.send_all(part)
                    break
                await sink.send_all(part)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
