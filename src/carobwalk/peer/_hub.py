"""All peer connections of a process."""

from functools import partial
from typing import Final

import trio
from result import Err, Ok, Result

from carobwalk.model import (
    Call,
    Completion,
    Endpoint,
    Failure,
    FailureKind,
    Forwarder,
    Outcome,
    Placement,
    ProcessId,
    ReplySink,
    RequestId,
)
from carobwalk.peer._accepted import AcceptedConnection
from carobwalk.peer._dialler import PeerDialler
from carobwalk.peer._ledger import RequestLedger
from carobwalk.peer._link import Link
from carobwalk.peer._peers import PeerFailure
from carobwalk.peer._stamp_source import StampSource
from carobwalk.peer._topic import Topic
from carobwalk.peer._topic_failure import TopicFailure
from carobwalk.peer._topic_registry import TopicRegistry
from carobwalk.peer._traffic import Traffic

_SETTLE_SECONDS: Final = 1.0
_SETTLE: Final = Topic('request.settle')
_RAN: Final = b'\x01'
_NOT_RUN: Final = b'\x00'


class PeerHub:
    """Dials peers on demand and serves the peers that dial this process.

    Args:
        own: This process, its address being that of its peer listener.
        clock: Logical clock of this process.
        topics: Handlers of questions.
    """

    def __init__(
        self,
        own: Endpoint,
        clock: StampSource,
        topics: TopicRegistry,
    ) -> None:
        self._own = own
        self._clock = clock
        self._topics = topics
        self.traffic = Traffic()
        self._ledger = RequestLedger()
        self._dialler = PeerDialler(ProcessId(own.name), clock, self.traffic)
        topics.register(_SETTLE, self._answer_settle)

    async def run(
        self,
        listeners: list[trio.SocketListener],
        forwarder: Forwarder,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled.

        Args:
            listeners: Open listeners for peers.
            forwarder: Runs the requests that this process dispatches.
            task_status: Told when peers can be dialled.
        """
        async with trio.open_nursery() as nursery:
            self._dialler.start(nursery)
            task_status.started()
            await trio.serve_listeners(
                partial(self._serve, forwarder),
                listeners,
                handler_nursery=nursery,
            )

    async def ask(
        self,
        peer: Endpoint,
        topic: Topic,
        payload: bytes,
        timeout: float,
    ) -> Result[bytes, PeerFailure]:
        """Send a question and wait for its answer; see ``Peers``."""
        if peer.name == self._own.name:
            return await self._ask_self(topic, payload, timeout)
        with trio.move_on_after(timeout):
            connection = await self._dialler.connect(peer)
            if connection is None:
                return Err(_not_delivered(peer))
            return await connection.ask(topic, payload)
        detail = f'no answer from {peer.name} within {timeout} s'
        return Err(PeerFailure(delivered=True, detail=detail))

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Run a request at another process; see ``Forwarder``."""
        peer = placement.dispatcher
        connection = await self._dialler.connect(peer)
        if connection is None:
            detail = f'{peer.name} can not be reached'
            return Err(
                Failure(FailureKind.PEER_LOST, Outcome.NOT_RUN, detail),
            )
        ended = await connection.forward(call, placement, sink)
        if ended.is_ok() or not _is_open_outcome(ended.unwrap_err()):
            return ended
        return Err(await self._settle(call.head.request_id, peer))

    async def _settle(
        self,
        request_id: RequestId,
        peer: Endpoint,
    ) -> Failure:
        """Ask the peer what became of a request whose connection was lost."""
        payload = request_id.encode()
        answer = await self.ask(peer, _SETTLE, payload, _SETTLE_SECONDS)
        detail = f'connection to {peer.name} lost'
        if answer == Ok(_NOT_RUN):
            return Failure(FailureKind.PEER_LOST, Outcome.NOT_RUN, detail)
        return Failure(FailureKind.PEER_LOST, Outcome.UNKNOWN, detail)

    async def _answer_settle(self, sender: ProcessId, payload: bytes) -> bytes:
        may_have_run = await self._ledger.settle(RequestId(payload.decode()))
        return _RAN if may_have_run else _NOT_RUN

    async def _ask_self(
        self,
        topic: Topic,
        payload: bytes,
        timeout: float,
    ) -> Result[bytes, PeerFailure]:
        sender = ProcessId(self._own.name)
        with trio.move_on_after(timeout):
            answered = await self._topics.answer(topic, sender, payload)
            return answered.map_err(_self_failed)
        detail = f'no answer within {timeout} s'
        return Err(PeerFailure(delivered=True, detail=detail))

    async def _serve(
        self,
        forwarder: Forwarder,
        stream: trio.SocketStream,
    ) -> None:
        link = Link(stream, self._clock)
        accepted = AcceptedConnection(
            link,
            self._topics,
            forwarder,
            self._ledger,
        )
        with self.traffic.track(link):
            await accepted.run()


def _self_failed(failure: TopicFailure) -> PeerFailure:
    return PeerFailure(delivered=True, detail=failure.detail)


def _not_delivered(peer: Endpoint) -> PeerFailure:
    return PeerFailure(
        delivered=False,
        detail=f'{peer.name} can not be reached',
    )


def _is_open_outcome(failure: Failure) -> bool:
    """Return whether the peer's loss left the outcome open."""
    is_lost = failure.kind is FailureKind.PEER_LOST
    return is_lost and failure.outcome is Outcome.UNKNOWN
