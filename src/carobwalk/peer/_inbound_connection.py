"""Peer connections that another process opened."""

import trio
from result import Ok

from carobwalk.model import (
    Call,
    CallProgress,
    Failure,
    FailureKind,
    Forwarder,
    Outcome,
    ProcessId,
)
from carobwalk.peer._exceptions import FrameError, PeerLostError
from carobwalk.peer._exchange import Exchange
from carobwalk.peer._exchange_body import ExchangeBody
from carobwalk.peer._exchange_sink import ExchangeSink
from carobwalk.peer._link import Link
from carobwalk.peer._request_tracker import RequestTracker, RunningRequest
from carobwalk.peer._topic_registry import TopicRegistry
from carobwalk.peer.frames import (
    Answer,
    Ask,
    AskFailed,
    Body,
    Cancel,
    Completed,
    Failed,
    Frame,
    Hello,
    OpenRequest,
)


class InboundConnection:
    """Serves the requests and control messages of one peer.

    Args:
        link: Open link to the peer; closed when ``run`` ends.
        topics: Handlers of control messages.
        forwarder: Forwards requests to the backend servers that this process
            dispatches to.
        request_tracker: Records the requests that reached this process.
    """

    def __init__(
        self,
        link: Link,
        topics: TopicRegistry,
        forwarder: Forwarder,
        request_tracker: RequestTracker,
    ) -> None:
        self._link = link
        self._topics = topics
        self._forwarder = forwarder
        self._request_tracker = request_tracker
        self._peer = ProcessId('')
        self._exchanges_by_number: dict[int, Exchange] = {}
        self._scopes_by_number: dict[int, trio.CancelScope] = {}

    async def run(self) -> None:
        """Serve until the connection is lost; then cancel running requests."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._link.run_writer)
                await self._read_frames(nursery)
                nursery.cancel_scope.cancel()
        finally:
            await self._link.close()

    async def _read_frames(self, nursery: trio.Nursery) -> None:
        try:
            while True:
                self._dispatch_frame(await self._link.receive(), nursery)
        except (PeerLostError, FrameError):
            return

    def _dispatch_frame(self, frame: Frame, nursery: trio.Nursery) -> None:
        match frame.body:
            case Hello(process):
                self._peer = ProcessId(process)
            case Ask():
                nursery.start_soon(
                    self._answer_message, frame.exchange, frame.body
                )
            case OpenRequest():
                exchange = Exchange(frame.exchange, self._link)
                running_request = RunningRequest(CallProgress())
                # Registered before its task starts, since the next frame may
                # already belong to this exchange.
                self._exchanges_by_number[exchange.number] = exchange
                self._scopes_by_number[exchange.number] = running_request.scope
                nursery.start_soon(
                    self._serve_request,
                    exchange,
                    frame.body,
                    running_request,
                )
            case Cancel():
                self._cancel(frame.exchange)
            case _:
                self._deliver(frame.exchange, frame.body)

    def _cancel(self, number: int) -> None:
        scope = self._scopes_by_number.get(number)
        if scope is not None:
            scope.cancel()

    def _deliver(self, number: int, body: Body) -> None:
        exchange = self._exchanges_by_number.get(number)
        # Chunks of the body may still arrive after a request ended early.
        if exchange is not None:
            exchange.deliver(body)

    async def _answer_message(self, number: int, ask: Ask) -> None:
        result = await self._topics.answer(
            ask.topic,
            self._peer,
            ask.payload,
        )
        body: Body = (
            Answer(result.ok_value)
            if isinstance(result, Ok)
            else AskFailed(result.err_value.detail)
        )
        await self._link.send_if_open(number, body)

    async def _serve_request(
        self,
        exchange: Exchange,
        opened: OpenRequest,
        running_request: RunningRequest,
    ) -> None:
        head = opened.head
        body = ExchangeBody(exchange, is_empty=head.body_length == 0)
        call = Call(head, body, running_request.progress)
        if not self._request_tracker.admit(head.request_id, running_request):
            self._remove_exchange(exchange.number)
            await self._link.send_if_open(
                exchange.number, _cancelled_before_arrival()
            )
            return
        try:
            with running_request.scope:
                await self._forward(exchange, call, opened)
        finally:
            self._request_tracker.end(head.request_id)
            self._remove_exchange(exchange.number)

    def _remove_exchange(self, number: int) -> None:
        self._scopes_by_number.pop(number)
        self._exchanges_by_number.pop(number)

    async def _forward(
        self,
        exchange: Exchange,
        call: Call,
        opened: OpenRequest,
    ) -> None:
        result = await self._forwarder.forward(
            call,
            opened.placement,
            ExchangeSink(exchange),
        )
        if result.is_ok():
            await self._link.send_if_open(
                exchange.number, Completed(result.unwrap())
            )
        else:
            await self._link.send_if_open(
                exchange.number, Failed(result.unwrap_err())
            )


def _cancelled_before_arrival() -> Failed:
    return Failed(
        Failure(
            FailureKind.PEER_LOST,
            Outcome.NOT_RUN,
            'the request was given up before it arrived',
        ),
    )
