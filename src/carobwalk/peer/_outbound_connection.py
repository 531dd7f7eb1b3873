"""Peer connections that this process opened."""

import trio
from result import Err, Ok, Result

from carobwalk.model import (
    Call,
    Completion,
    Failure,
    FailureKind,
    Placement,
    ProcessId,
    ReplySink,
)
from carobwalk.peer._exceptions import FrameError, PeerLostError
from carobwalk.peer._exchange import Exchange
from carobwalk.peer._link import Link
from carobwalk.peer._peers import PeerFailure
from carobwalk.peer._relay import relay_request
from carobwalk.peer._topic import Topic
from carobwalk.peer.frames import (
    Answer,
    Ask,
    AskFailed,
    Body,
    Cancel,
    Hello,
)


class OutboundConnection:
    """Sends this process's requests and control messages to one peer.

    Args:
        link: Open link to the peer; closed when ``run`` ends.
        own_id: Identity of this process.
    """

    def __init__(self, link: Link, own_id: ProcessId) -> None:
        self.is_open = True
        self._link = link
        self._own_id = own_id
        self._last_number = 0
        self._exchanges_by_number: dict[int, Exchange] = {}

    async def run(self) -> None:
        """Read frames until the connection is lost."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._link.run_writer)
                await self._read_frames()
                nursery.cancel_scope.cancel()
        finally:
            await self._close()

    async def ask(
        self,
        topic: Topic,
        payload: bytes,
    ) -> Result[bytes, PeerFailure]:
        """Send a control message and wait for its answer without a timeout.

        Args:
            topic: Kind of the message.
            payload: Message in the topic's own schema.

        Returns:
            The answer, or a failure if the connection was lost or the peer
            could not handle the message.
        """
        exchange = self._open_exchange()
        try:
            await exchange.send(Ask(topic, payload))
            frame = await exchange.receive()
        except PeerLostError as error:
            return Err(PeerFailure(delivered=True, detail=str(error)))
        finally:
            self._exchanges_by_number.pop(exchange.number, None)
        if isinstance(frame, Answer):
            return Ok(frame.payload)
        return Err(PeerFailure(delivered=True, detail=_failure_detail(frame)))

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Run a request at the peer; see ``Forwarder``.

        Returns:
            The completion or the peer's failure. If the connection was lost
            first, the kind is ``peer-lost`` and the outcome is unknown.
        """
        exchange = self._open_exchange()
        is_ended = False
        try:
            result = await relay_request(exchange, call, placement, sink)
            is_ended = _is_ended_by_peer(result)
        finally:
            self._exchanges_by_number.pop(exchange.number, None)
            if not is_ended:
                await self._cancel(exchange)
        return result

    async def _cancel(self, exchange: Exchange) -> None:
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await self._link.send_if_open(exchange.number, Cancel())

    def _open_exchange(self) -> Exchange:
        self._last_number += 1
        exchange = Exchange(self._last_number, self._link)
        self._exchanges_by_number[exchange.number] = exchange
        if not self.is_open:
            exchange.close()
        return exchange

    async def _read_frames(self) -> None:
        try:
            await self._link.send(0, Hello(self._own_id))
            while True:
                frame = await self._link.receive()
                exchange = self._exchanges_by_number.get(frame.exchange)
                # Frames may still arrive for an exchange that was cancelled.
                if exchange is not None:
                    exchange.deliver(frame.body)
        except (PeerLostError, FrameError):
            return

    async def _close(self) -> None:
        self.is_open = False
        for exchange in self._exchanges_by_number.values():
            exchange.close()
        await self._link.close()


def _failure_detail(frame: Body) -> str:
    if isinstance(frame, AskFailed):
        return frame.detail
    return f'unexpected frame {type(frame).__name__}'


def _is_ended_by_peer(result: Result[Completion, Failure]) -> bool:
    if isinstance(result, Ok):
        return True
    kinds = (FailureKind.PEER_LOST, FailureKind.CALLER_GONE)
    return result.err_value.kind not in kinds
