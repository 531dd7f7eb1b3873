"""TCP relay that delays data and breaks connections."""

import random
from dataclasses import dataclass

import trio

from carobwalk.model import Address

_RECEIVE_BYTES = 16_384


@dataclass(slots=True)
class FaultyLink:
    """Relays connections to a target, delaying and breaking them at random.

    Args:
        target: Address that the connections are relayed to.
        generator: Random generator of the delays and the breaks.
        break_probability: Probability of a break at each chunk of data. A
            broken connection delivers only a part of that chunk.
        max_delay: Maximum delay of each chunk, in seconds.
        breaks: Number of connections broken so far.
    """

    target: Address
    generator: random.Random
    break_probability: float
    max_delay: float
    breaks: int = 0

    async def serve(
        self,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept and relay connections until cancelled.

        Args:
            task_status: Is given the address that the link listens on.
        """
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        task_status.started(Address('127.0.0.1', port))
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, downstream: trio.SocketStream) -> None:
        upstream = await trio.open_tcp_stream(
            self.target.host, self.target.port
        )
        async with downstream, upstream, trio.open_nursery() as nursery:
            nursery.start_soon(
                self._relay, downstream, upstream, nursery.cancel_scope
            )
            nursery.start_soon(
                self._relay, upstream, downstream, nursery.cancel_scope
            )

    async def _relay(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while chunk := await source.receive_some(_RECEIVE_BYTES):
                await trio.sleep(self.generator.random() * self.max_delay)
                if self.generator.random() < self.break_probability:
                    self.breaks += 1
                    chunk = chunk[: self.generator.randrange(len(chunk))]
                    await sink.send_all(chunk)
                    break
                await sink.send_all(chunk)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
