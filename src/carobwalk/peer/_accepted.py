"""The side of a peer connection that accepted."""

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
from carobwalk.peer._ledger import RequestLedger, RunningRequest
from carobwalk.peer._link import Link
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


class AcceptedConnection:
    """Serves the requests and questions of one peer.

    Args:
        link: Open link to the peer.
        topics: Handlers of questions.
        forwarder: Runs requests in this process.
        ledger: Record of the requests that reached this process.
    """

    def __init__(
        self,
        link: Link,
        topics: TopicRegistry,
        forwarder: Forwarder,
        ledger: RequestLedger,
    ) -> None:
        self._link = link
        self._topics = topics
        self._forwarder = forwarder
        self._ledger = ledger
        self._peer = ProcessId('')
        self._exchanges_by_number: dict[int, Exchange] = {}
        self._scopes_by_number: dict[int, trio.CancelScope] = {}

    async def run(self) -> None:
        """Serve until the connection is lost; then cancel what still runs."""
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
                self._take(await self._link.receive(), nursery)
        except (PeerLostError, FrameError):
            return

    def _take(self, frame: Frame, nursery: trio.Nursery) -> None:
        match frame.body:
            case Hello(process):
                self._peer = ProcessId(process)
            case Ask():
                nursery.start_soon(self._answer, frame.exchange, frame.body)
            case OpenRequest():
                exchange = Exchange(frame.exchange, self._link)
                running = RunningRequest(CallProgress())
                # Frames that follow at once must find the exchange.
                self._exchanges_by_number[exchange.number] = exchange
                self._scopes_by_number[exchange.number] = running.scope
                nursery.start_soon(
                    self._serve,
                    exchange,
                    frame.body,
                    running,
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
        # A request that ended early may still get chunks of its body.
        if exchange is not None:
            exchange.deliver(body)

    async def _answer(self, number: int, ask: Ask) -> None:
        answered = await self._topics.answer(
            ask.topic,
            self._peer,
            ask.payload,
        )
        body: Body = (
            Answer(answered.ok_value)
            if isinstance(answered, Ok)
            else AskFailed(answered.err_value.detail)
        )
        await self._link.send_if_open(number, body)

    async def _serve(
        self,
        exchange: Exchange,
        opened: OpenRequest,
        running: RunningRequest,
    ) -> None:
        head = opened.head
        body = ExchangeBody(exchange, is_empty=head.body_length == 0)
        call = Call(head, body, running.progress)
        if not self._ledger.admit(head.request_id, running):
            self._forget(exchange.number)
            await self._link.send_if_open(exchange.number, _given_up())
            return
        try:
            with running.scope:
                await self._run(exchange, call, opened)
        finally:
            self._ledger.end(head.request_id)
            self._forget(exchange.number)

    def _forget(self, number: int) -> None:
        self._scopes_by_number.pop(number)
        self._exchanges_by_number.pop(number)

    async def _run(
        self,
        exchange: Exchange,
        call: Call,
        opened: OpenRequest,
    ) -> None:
        ended = await self._forwarder.forward(
            call,
            opened.placement,
            ExchangeSink(exchange),
        )
        if ended.is_ok():
            await self._link.send_if_open(
                exchange.number, Completed(ended.unwrap())
            )
        else:
            await self._link.send_if_open(
                exchange.number, Failed(ended.unwrap_err())
            )


def _given_up() -> Failed:
    return Failed(
        Failure(
            FailureKind.PEER_LOST,
            Outcome.NOT_RUN,
            'the request was given up before it arrived',
        ),
    )
