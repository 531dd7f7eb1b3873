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
from carobwalk.peer._dialler import PeerDialler
from carobwalk.peer._inbound_connection import InboundConnection
from carobwalk.peer._link import Link
from carobwalk.peer._logical_clock import LogicalClock
from carobwalk.peer._peers import PeerFailure
from carobwalk.peer._request_tracker import RequestTracker
from carobwalk.peer._topic import Topic
from carobwalk.peer._topic_failure import TopicFailure
from carobwalk.peer._topic_registry import TopicRegistry
from carobwalk.peer._traffic_counter import TrafficCounter

_SETTLE_TIMEOUT_SECONDS: Final = 1.0
_SETTLE_TOPIC: Final = Topic('request.settle')
_MAY_HAVE_RUN: Final = b'\x01'
_NOT_RUN: Final = b'\x00'


class PeerHub:
    """Connects to peers on demand and serves peers that connect.

    Args:
        own: Endpoint of this process, with the address of its peer listener.
        clock: Logical clock of this process.
        topics: Handlers of control messages.
    """

    def __init__(
        self,
        own: Endpoint,
        clock: LogicalClock,
        topics: TopicRegistry,
    ) -> None:
        self._own = own
        self._clock = clock
        self._topics = topics
        self.traffic = TrafficCounter()
        self._request_tracker = RequestTracker()
        self._dialler = PeerDialler(ProcessId(own.name), clock, self.traffic)
        topics.register(_SETTLE_TOPIC, self._handle_settle)

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
            task_status: Reports that connections to peers can be opened.
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
        """Send a control message and wait for its answer; see ``Peers``."""
        if peer.name == self._own.name:
            return await self._ask_locally(topic, payload, timeout)
        with trio.move_on_after(timeout):
            connection = await self._dialler.connect(peer)
            if connection is None:
                return Err(_unreachable_failure(peer))
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
        result = await connection.forward(call, placement, sink)
        if result.is_ok() or not _is_outcome_unknown(result.unwrap_err()):
            return result
        return Err(await self._resolve_outcome(call.head.request_id, peer))

    async def _resolve_outcome(
        self,
        request_id: RequestId,
        peer: Endpoint,
    ) -> Failure:
        """Ask the peer whether a request may have run after a lost connection.

        Without an answer the outcome remains unknown.
        """
        payload = request_id.encode()
        answer = await self.ask(
            peer, _SETTLE_TOPIC, payload, _SETTLE_TIMEOUT_SECONDS
        )
        detail = f'connection to {peer.name} lost'
        if answer == Ok(_NOT_RUN):
            return Failure(FailureKind.PEER_LOST, Outcome.NOT_RUN, detail)
        return Failure(FailureKind.PEER_LOST, Outcome.UNKNOWN, detail)

    async def _handle_settle(self, sender: ProcessId, payload: bytes) -> bytes:
        may_have_run = await self._request_tracker.resolve_outcome(
            RequestId(payload.decode())
        )
        return _MAY_HAVE_RUN if may_have_run else _NOT_RUN

    async def _ask_locally(
        self,
        topic: Topic,
        payload: bytes,
        timeout: float,
    ) -> Result[bytes, PeerFailure]:
        sender = ProcessId(self._own.name)
        with trio.move_on_after(timeout):
            result = await self._topics.answer(topic, sender, payload)
            return result.map_err(_local_failure)
        detail = f'no answer within {timeout} s'
        return Err(PeerFailure(delivered=True, detail=detail))

    async def _serve(
        self,
        forwarder: Forwarder,
        stream: trio.SocketStream,
    ) -> None:
        link = Link(stream, self._clock)
        accepted = InboundConnection(
            link,
            self._topics,
            forwarder,
            self._request_tracker,
        )
        with self.traffic.track(link):
            await accepted.run()


def _local_failure(failure: TopicFailure) -> PeerFailure:
    return PeerFailure(delivered=True, detail=failure.detail)


def _unreachable_failure(peer: Endpoint) -> PeerFailure:
    return PeerFailure(
        delivered=False,
        detail=f'{peer.name} can not be reached',
    )


def _is_outcome_unknown(failure: Failure) -> bool:
    """Return whether the lost connection left the outcome unknown."""
    is_lost = failure.kind is FailureKind.PEER_LOST
    return is_lost and failure.outcome is Outcome.UNKNOWN
