"""Randomised tests of peer connections under delays and lost connections."""

import hashlib
import random
from dataclasses import dataclass, field

import pytest
import trio
from result import Err, Ok, Result
from trio.testing import MockClock, memory_stream_pair

from carobwalk.events import HybridClock
from carobwalk.model import (
    Address,
    BodyError,
    Call,
    Completion,
    DataCentreName,
    Endpoint,
    Failure,
    FailureKind,
    Headers,
    Outcome,
    Placement,
    ProcessId,
    Rank,
    RegionName,
    ReplySink,
    RequestHead,
    RequestId,
    ServerId,
    ServiceName,
)
from carobwalk.peer import Topic, TopicRegistry
from carobwalk.peer._inbound_connection import InboundConnection
from carobwalk.peer._link import Link
from carobwalk.peer._outbound_connection import OutboundConnection
from carobwalk.peer._request_tracker import RequestTracker

_TRIALS = 200
_REQUESTS = 50
_BODY_SIZES = (0, 0, 0, 0, 10, 10, 10, 10, 10, 10, 10, 1000, 300_000)
_ENDPOINT = Endpoint(
    's',
    Address('127.0.0.1', 1),
    RegionName('r'),
    DataCentreName('d'),
)
_PLACEMENT = Placement(_ENDPOINT, _ENDPOINT, None, None)


def _request_head(name: str, body_length: int | None) -> RequestHead:
    return RequestHead(
        request_id=RequestId(name),
        service=ServiceName('tien-do'),
        rank=Rank.LOOKUP,
        method='POST',
        target='/',
        headers=(),
        key=None,
        deadline=60,
        idempotent=False,
        idempotency_key=None,
        caller='c',
        body_length=body_length,
    )


def _expected_response(name: str, body: bytes) -> bytes:
    digest = hashlib.sha256(name.encode() + body).digest()
    is_long = digest[0] % 16 == 0
    factor = 64 if is_long else 1
    return digest * (1 + digest[1] * factor)


class _ChunkedBody:
    """Body of random chunks, which may fail before its end."""

    def __init__(self, content: bytes, rng: random.Random) -> None:
        self.content = content
        self.is_broken = rng.randrange(10) == 0
        self._remaining = content
        self._rng = rng

    async def receive(self) -> bytes:
        await trio.sleep(self._rng.uniform(0, 0.01))
        size = self._rng.randint(1, 40_000)
        chunk = self._remaining[:size]
        self._remaining = self._remaining[size:]
        if self.is_broken and not self._remaining:
            raise BodyError('gone')
        return chunk


@dataclass
class _CollectingSink:
    """Collects a response."""

    status: int = 0
    content: bytearray = field(default_factory=bytearray)

    async def start(self, status: int, headers: Headers) -> None:
        assert not self.status
        self.status = status

    async def write(self, chunk: bytes) -> None:
        await trio.sleep(0.0001 * (len(chunk) % 7))
        self.content += chunk


class _RandomServer:
    """Responds after a random delay; sometimes fails or truncates."""

    def __init__(self, rng: random.Random) -> None:
        self.ran: set[str] = set()
        self._rng = rng

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        assert placement == _PLACEMENT
        name = call.head.request_id
        if self._rng.randrange(10) == 0:
            return Err(Failure(FailureKind.SHED, Outcome.NOT_RUN, name))
        body = bytearray()
        try:
            while chunk := await call.body.receive():
                body += chunk
        except BodyError:
            return Err(Failure(FailureKind.CALLER_GONE, Outcome.NOT_RUN, name))
        call.progress.record(is_sent=True)
        self.ran.add(name)
        await trio.sleep(self._rng.uniform(0, 0.1))
        answer = _expected_response(name, bytes(body))
        await sink.start(200, ((b'name', name.encode()),))
        is_truncated = self._rng.randrange(10) == 0
        sent = answer[: len(answer) // 2] if is_truncated else answer
        for start in range(0, len(sent), 10_000):
            await trio.sleep(self._rng.uniform(0, 0.002))
            await sink.write(sent[start : start + 10_000])
        if is_truncated:
            return Err(Failure(FailureKind.SERVER_LOST, Outcome.UNKNOWN, name))
        return Ok(Completion(200, ServerId('s'), len(body), len(answer)))


@dataclass
class _Trial:
    """One connection with its requests and their outcomes."""

    rng: random.Random
    request_tracker: RequestTracker = field(default_factory=RequestTracker)
    complete: int = 0
    lost: int = 0
    not_run: set[str] = field(default_factory=set)

    async def run(self, label: str) -> set[str]:
        """Run the requests; return the names of those that ran."""
        client_stream, server_stream = memory_stream_pair()
        server = _RandomServer(self.rng)
        outbound = OutboundConnection(
            Link(client_stream, HybridClock()), ProcessId('e')
        )
        inbound = InboundConnection(
            Link(server_stream, HybridClock()),
            TopicRegistry(),
            server,
            self.request_tracker,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(outbound.run)
            nursery.start_soon(inbound.run)
            if self.rng.randrange(2):
                stream = self.rng.choice((client_stream, server_stream))
                nursery.start_soon(self._close_stream, stream)
            async with trio.open_nursery() as requests:
                for number in range(_REQUESTS):
                    requests.start_soon(
                        self._send_request, outbound, f'{label}-{number}'
                    )
            nursery.cancel_scope.cancel()
        return server.ran

    async def _close_stream(self, stream: trio.abc.Stream) -> None:
        await trio.sleep(self.rng.uniform(0, 0.2))
        await trio.aclose_forcefully(stream)

    async def _send_request(
        self, outbound: OutboundConnection, name: str
    ) -> None:
        await trio.sleep(self.rng.uniform(0, 0.05))
        size = self.rng.choice(_BODY_SIZES)
        body = _ChunkedBody(self.rng.randbytes(size), self.rng)
        length = None if size else 0
        sink = _CollectingSink()
        call = Call(_request_head(name, length), body)
        result = await outbound.forward(call, _PLACEMENT, sink)
        if isinstance(result, Ok):
            assert not (body.is_broken and size)
            assert bytes(sink.content) == _expected_response(name, body.content)
            self.complete += 1
        elif result.err_value.kind is FailureKind.PEER_LOST:
            self.lost += 1
            if not await self.request_tracker.resolve_outcome(RequestId(name)):
                self.not_run.add(name)
        else:
            assert result.err_value.detail in {name, 'gone'}


class TestConnection:
    def test_responses_are_complete_and_matched(self) -> None:
        """A complete response is whole and belongs to its own request.

        A request reported as not run after a lost connection never ran.
        """
        rng = random.Random(20261204)
        complete = 0
        lost = 0

        async def main() -> None:
            nonlocal complete, lost
            for number in range(_TRIALS):
                trial = _Trial(rng)
                ran = await trial.run(str(number))
                assert not trial.not_run & ran
                complete += trial.complete
                lost += trial.lost

        trio.run(main, clock=MockClock(autojump_threshold=0))
        assert complete > _TRIALS * _REQUESTS / 3
        assert lost > _TRIALS

    @pytest.mark.parametrize('is_known', [True, False])
    def test_control_message(
        self, is_known: bool, virtual_clock: MockClock
    ) -> None:
        """A control message is answered by its topic's handler, or fails."""
        topics = TopicRegistry()

        async def echo(sender: ProcessId, payload: bytes) -> bytes:
            return sender.encode() + payload

        if is_known:
            topics.register(Topic('echo'), echo)

        async def main() -> Result[bytes, object]:
            client_stream, server_stream = memory_stream_pair()
            outbound = OutboundConnection(
                Link(client_stream, HybridClock()),
                ProcessId('e'),
            )
            inbound = InboundConnection(
                Link(server_stream, HybridClock()),
                topics,
                _RandomServer(random.Random(1)),
                RequestTracker(),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(outbound.run)
                nursery.start_soon(inbound.run)
                answer = await outbound.ask(Topic('echo'), b'!')
                nursery.cancel_scope.cancel()
            return answer

        answer = trio.run(main, clock=virtual_clock)
        assert answer.is_ok() is is_known
        if is_known:
            assert answer == Ok(b'e!')
