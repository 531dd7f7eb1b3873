"""Randomised runs of peer connections that are slow, cut and crossed."""

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
from carobwalk.peer._accepted import AcceptedConnection
from carobwalk.peer._dialled import DialledConnection
from carobwalk.peer._ledger import RequestLedger
from carobwalk.peer._link import Link

_ROUNDS = 200
_REQUESTS = 50
_BODY_SIZES = (0, 0, 0, 0, 10, 10, 10, 10, 10, 10, 10, 1000, 300_000)
_PLACE = Endpoint(
    's',
    Address('127.0.0.1', 1),
    RegionName('r'),
    DataCentreName('d'),
)
_PLACEMENT = Placement(_PLACE, _PLACE, None, None)


def _head(name: str, body_length: int | None) -> RequestHead:
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


def _answer_to(name: str, body: bytes) -> bytes:
    digest = hashlib.sha256(name.encode() + body).digest()
    is_long = digest[0] % 16 == 0
    factor = 64 if is_long else 1
    return digest * (1 + digest[1] * factor)


class _Body:
    """Body in chunks, which may break off."""

    def __init__(self, content: bytes, source: random.Random) -> None:
        self.content = content
        self.is_broken = source.randrange(10) == 0
        self._left = content
        self._source = source

    async def receive(self) -> bytes:
        await trio.sleep(self._source.uniform(0, 0.01))
        size = self._source.randint(1, 40_000)
        chunk = self._left[:size]
        self._left = self._left[size:]
        if self.is_broken and not self._left:
            raise BodyError('gone')
        return chunk


@dataclass
class _Sink:
    """Keeps an answer."""

    status: int = 0
    content: bytearray = field(default_factory=bytearray)

    async def start(self, status: int, headers: Headers) -> None:
        assert not self.status
        self.status = status

    async def write(self, chunk: bytes) -> None:
        await trio.sleep(0.0001 * (len(chunk) % 7))
        self.content += chunk


class _Server:
    """Answers after a while; fails or breaks an answer off at times."""

    def __init__(self, source: random.Random) -> None:
        self.ran: set[str] = set()
        self._source = source

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        assert placement == _PLACEMENT
        name = call.head.request_id
        if self._source.randrange(10) == 0:
            return Err(Failure(FailureKind.SHED, Outcome.NOT_RUN, name))
        body = bytearray()
        try:
            while chunk := await call.body.receive():
                body += chunk
        except BodyError:
            return Err(Failure(FailureKind.CALLER_GONE, Outcome.NOT_RUN, name))
        call.progress.record(is_sent=True)
        self.ran.add(name)
        await trio.sleep(self._source.uniform(0, 0.1))
        answer = _answer_to(name, bytes(body))
        await sink.start(200, ((b'name', name.encode()),))
        is_cut = self._source.randrange(10) == 0
        shown = answer[: len(answer) // 2] if is_cut else answer
        for start in range(0, len(shown), 10_000):
            await trio.sleep(self._source.uniform(0, 0.002))
            await sink.write(shown[start : start + 10_000])
        if is_cut:
            return Err(Failure(FailureKind.SERVER_LOST, Outcome.UNKNOWN, name))
        return Ok(Completion(200, ServerId('s'), len(body), len(answer)))


@dataclass
class _Round:
    """One connection with its requests and what became of them."""

    source: random.Random
    ledger: RequestLedger = field(default_factory=RequestLedger)
    complete: int = 0
    lost: int = 0
    not_run: set[str] = field(default_factory=set)

    async def run(self, label: str) -> set[str]:
        """Run the requests; return the names of those that ran."""
        near, far = memory_stream_pair()
        server = _Server(self.source)
        dialled = DialledConnection(Link(near, HybridClock()), ProcessId('e'))
        accepted = AcceptedConnection(
            Link(far, HybridClock()),
            TopicRegistry(),
            server,
            self.ledger,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(dialled.run)
            nursery.start_soon(accepted.run)
            if self.source.randrange(2):
                stream = self.source.choice((near, far))
                nursery.start_soon(self._cut, stream)
            async with trio.open_nursery() as requests:
                for number in range(_REQUESTS):
                    requests.start_soon(self._ask, dialled, f'{label}-{number}')
            nursery.cancel_scope.cancel()
        return server.ran

    async def _cut(self, stream: trio.abc.Stream) -> None:
        await trio.sleep(self.source.uniform(0, 0.2))
        await trio.aclose_forcefully(stream)

    async def _ask(self, dialled: DialledConnection, name: str) -> None:
        await trio.sleep(self.source.uniform(0, 0.05))
        size = self.source.choice(_BODY_SIZES)
        body = _Body(self.source.randbytes(size), self.source)
        length = None if size else 0
        sink = _Sink()
        call = Call(_head(name, length), body)
        ended = await dialled.forward(call, _PLACEMENT, sink)
        if isinstance(ended, Ok):
            assert not (body.is_broken and size)
            assert bytes(sink.content) == _answer_to(name, body.content)
            self.complete += 1
        elif ended.err_value.kind is FailureKind.PEER_LOST:
            self.lost += 1
            if not await self.ledger.settle(RequestId(name)):
                self.not_run.add(name)
        else:
            assert ended.err_value.detail in {name, 'gone'}


class TestConnection:
    def test_no_answer_goes_astray(self) -> None:
        """Answers are whole and of their own request, or not complete."""
        source = random.Random(20261204)
        complete = 0
        lost = 0

        async def main() -> None:
            nonlocal complete, lost
            for number in range(_ROUNDS):
                one = _Round(source)
                ran = await one.run(str(number))
                assert not one.not_run & ran
                complete += one.complete
                lost += one.lost

        trio.run(main, clock=MockClock(autojump_threshold=0))
        assert complete > _ROUNDS * _REQUESTS / 3
        assert lost > _ROUNDS

    @pytest.mark.parametrize('is_known', [True, False])
    def test_ask(self, is_known: bool, virtual_clock: MockClock) -> None:
        """A question gets its topic's answer, or says that there is none."""
        topics = TopicRegistry()

        async def echo(sender: ProcessId, payload: bytes) -> bytes:
            return sender.encode() + payload

        if is_known:
            topics.register(Topic('echo'), echo)

        async def main() -> Result[bytes, object]:
            near, far = memory_stream_pair()
            dialled = DialledConnection(
                Link(near, HybridClock()),
                ProcessId('e'),
            )
            accepted = AcceptedConnection(
                Link(far, HybridClock()),
                topics,
                _Server(random.Random(1)),
                RequestLedger(),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(dialled.run)
                nursery.start_soon(accepted.run)
                answer = await dialled.ask(Topic('echo'), b'!')
                nursery.cancel_scope.cancel()
            return answer

        answer = trio.run(main, clock=virtual_clock)
        assert answer.is_ok() is is_known
        if is_known:
            assert answer == Ok(b'e!')
