"""Tests of requests over TCP to a backend server."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio
from result import Err, Ok, Result

from carobwalk.dispatch import (
    ConnectionLimitError,
    DispatchPool,
    H11Upstream,
    SendGate,
    Tenure,
    UpstreamRequest,
)
from carobwalk.model import (
    BodyError,
    Completion,
    Failure,
    FailureKind,
    FenceToken,
    Outcome,
    TrioClock,
)
from carobwalk.ownership import NoLease
from tests.dispatch.fakes import (
    FakeLeases,
    ListSink,
    call_of,
    context_of,
    endpoint_of,
    placement_of,
    told,
)
from tests.dispatch.loopback import (
    LoopbackServer,
    Received,
    Script,
    answer_ok,
)

TENURE = Tenure(FenceToken(1, 1), FenceToken(1, 1))


@asynccontextmanager
async def serving(script: Script = answer_ok) -> AsyncIterator[LoopbackServer]:
    """Run a server for the length of a test."""
    server = LoopbackServer(script)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve)
        yield server
        nursery.cancel_scope.cancel()


def failure_in(ending: Result[Completion, Failure]) -> Failure:
    """Return the failure of an ending that must be one."""
    assert isinstance(ending, Err)
    return ending.err_value


def text(*lines: str) -> bytes:
    """Return an HTTP head."""
    return '\r\n'.join((*lines, '', '')).encode()


def saying(answer: bytes) -> Script:
    """Return a script that writes an answer and closes the connection."""

    async def script(request: Received, stream: trio.SocketStream) -> None:
        await stream.send_all(answer)
        await stream.aclose()

    return script


class TestExchange:
    def test_passes_headers_and_body(self) -> None:
        """Request and answer pass whole, with the headers of the grant."""

        async def case() -> None:
            sink = ListSink()
            async with serving() as server:
                pool = DispatchPool(context_of())
                ending = await pool.forward(
                    call_of(b'one', b'two'),
                    placement_of(server.endpoint),
                    sink,
                )
            assert isinstance(ending, Ok)
            assert ending.ok_value.sent_bytes == 6
            assert (sink.status, sink.body) == (200, b'onetwo')
            headers = server.received[0].headers
            assert headers['carobwalk-fence'] == '3.7'
            assert headers['carobwalk-shard'] == '5'
            assert headers['carobwalk-request'] == 'request-1'
            assert 0 < int(headers['carobwalk-deadline-ms']) <= 5000
            assert 'connection' not in headers

        trio.run(case)

    def test_keeps_connections(self) -> None:
        """Requests one after the other share a connection."""

        async def case() -> None:
            async with serving() as server:
                pool = DispatchPool(context_of())
                for _ in range(3):
                    await pool.forward(
                        call_of(b'x', body_length=None),
                        placement_of(server.endpoint),
                        ListSink(),
                    )
            assert len(server.received) == 3
            assert server.connections == 1

        trio.run(case)

    def test_replaces_closed_connection(self) -> None:
        """A kept connection that the server closed costs no request."""

        async def case() -> None:
            async with serving(_answer_and_close) as server:
                pool = DispatchPool(context_of())
                for _ in range(3):
                    ending = await pool.forward(
                        call_of(b'x'),
                        placement_of(server.endpoint),
                        ListSink(),
                    )
                    await trio.sleep(0.02)
                    assert isinstance(ending, Ok)
            assert len(server.received) == 3

        trio.run(case)

    def test_streams_large_bodies(self) -> None:
        """A body larger than all buffers passes both ways."""

        async def case() -> None:
            chunks = [bytes([number % 256]) * 65536 for number in range(64)]
            sink = ListSink()
            async with serving(_echo_chunked) as server:
                pool = DispatchPool(context_of())
                ending = await pool.forward(
                    call_of(*chunks, body_length=None),
                    placement_of(server.endpoint),
                    sink,
                )
            assert isinstance(ending, Ok)
            assert sink.body == b''.join(chunks)

        trio.run(case)


class TestConnections:
    def test_never_exceed_the_limit(self) -> None:
        """One connection more than the server takes is an error."""

        async def case() -> None:
            upstream = H11Upstream(endpoint_of('full'), 0, TrioClock())
            gate = SendGate(lambda: Ok(TENURE), idempotent=True, name='r')
            call = call_of()
            request = UpstreamRequest(call.head, call.body, None, gate, 1)
            with pytest.raises(ConnectionLimitError):
                await upstream.exchange(request, ListSink())
            assert gate.sends == 0

        trio.run(case)


async def _answer_and_close(
    request: Received,
    stream: trio.SocketStream,
) -> None:
    await answer_ok(request, stream)
    await stream.aclose()


async def _echo_chunked(request: Received, stream: trio.SocketStream) -> None:
    head = text('HTTP/1.1 200 OK', 'transfer-encoding: chunked')
    await stream.send_all(head)
    body = request.body
    for start in range(0, len(body), 65536):
        part = body[start : start + 65536]
        await stream.send_all(b'%x\r\n%s\r\n' % (len(part), part))
    await stream.send_all(b'0\r\n\r\n')


REFUSAL = text(
    'HTTP/1.1 503 Busy',
    'content-length: 0',
    'carobwalk-outcome: not-run',
    'carobwalk-reason: shed',
    'retry-after: 2',
)
FENCED = text(
    'HTTP/1.1 409 Conflict',
    'content-length: 0',
    'carobwalk-outcome: not-run',
    'carobwalk-reason: fenced',
)
PLAIN_503 = text('HTTP/1.1 503 Busy', 'content-length: 0')
CUT_SHORT = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf'
NO_LENGTH = b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nperhaps all'
CUT_CHUNKED = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n'
)


class TestFailures:
    @pytest.mark.parametrize(
        ('answer', 'kind', 'outcome'),
        [
            (REFUSAL, FailureKind.SHED, Outcome.NOT_RUN),
            (FENCED, FailureKind.FENCED, Outcome.NOT_RUN),
            (b'', FailureKind.SERVER_LOST, Outcome.UNKNOWN),
            (b'HTTP/1.1 20', FailureKind.SERVER_LOST, Outcome.UNKNOWN),
            (CUT_SHORT, FailureKind.SERVER_LOST, Outcome.UNKNOWN),
            (CUT_CHUNKED, FailureKind.SERVER_LOST, Outcome.UNKNOWN),
            (NO_LENGTH, FailureKind.SERVER_LOST, Outcome.UNKNOWN),
        ],
    )
    def test_answers(
        self,
        answer: bytes,
        kind: FailureKind,
        outcome: Outcome,
    ) -> None:
        """Only the server's own statement makes a sent request not run."""

        async def case() -> None:
            async with serving(saying(answer)) as server:
                pool = DispatchPool(context_of())
                ending = await pool.forward(
                    call_of(b'claim'),
                    placement_of(server.endpoint),
                    ListSink(),
                )
            assert told(ending) == (kind, outcome)
            assert len(server.received) == 1

        trio.run(case)

    def test_plain_503_is_an_answer(self) -> None:
        """An error status without the statement is passed on as it is."""

        async def case() -> None:
            sink = ListSink()
            async with serving(saying(PLAIN_503)) as server:
                pool = DispatchPool(context_of())
                ending = await pool.forward(
                    call_of(b'claim'),
                    placement_of(server.endpoint),
                    sink,
                )
            assert isinstance(ending, Ok)
            assert sink.status == 503

        trio.run(case)

    def test_refused_connection(self) -> None:
        """A request that found no server did not run."""

        async def case() -> None:
            pool = DispatchPool(context_of())
            ending = await pool.forward(
                call_of(b'claim'),
                placement_of(endpoint_of('gone', port=1)),
                ListSink(),
            )
            expected = (FailureKind.SERVER_UNREACHABLE, Outcome.NOT_RUN)
            assert told(ending) == expected

        trio.run(case)

    def test_no_lease(self) -> None:
        """Without a lease no byte is sent."""

        async def case() -> None:
            leases = FakeLeases(answer=Err(NoLease('lapsed')))
            async with serving() as server:
                pool = DispatchPool(context_of(leases))
                ending = await pool.forward(
                    call_of(b'claim'),
                    placement_of(server.endpoint),
                    ListSink(),
                )
            expected = (FailureKind.NOT_DISPATCHER, Outcome.NOT_RUN)
            assert told(ending) == expected
            assert not server.received

        trio.run(case)

    def test_deadline_while_running(self) -> None:
        """A sent request that is not answered in time is unknown."""

        async def case() -> None:
            async with serving(_freeze) as server:
                pool = DispatchPool(context_of())
                ending = await pool.forward(
                    call_of(b'claim', deadline=0.1),
                    placement_of(server.endpoint),
                    ListSink(),
                )
                await trio.sleep(0.05)
                assert server.open_connections == 0
            assert told(ending) == (FailureKind.DEADLINE, Outcome.UNKNOWN)

        trio.run(case)

    def test_broken_body(self) -> None:
        """A caller that leaves within its body leaves an unknown outcome."""

        async def case() -> None:
            async with serving() as server:
                pool = DispatchPool(context_of())
                ending = await pool.forward(
                    call_of(b'half', BodyError('left'), body_length=9),
                    placement_of(server.endpoint),
                    ListSink(),
                )
            assert told(ending) == (FailureKind.CALLER_GONE, Outcome.UNKNOWN)
            assert not server.received

        trio.run(case)

    def test_caller_leaves_answer(self) -> None:
        """A caller that leaves within the answer closes the connection."""

        async def case() -> None:
            async with serving() as server:
                pool = DispatchPool(context_of())
                ending = await pool.forward(
                    call_of(b'claim'),
                    placement_of(server.endpoint),
                    ListSink(leaves_after=0),
                )
                await trio.sleep(0.05)
                assert server.open_connections == 0
            assert failure_in(ending).kind is FailureKind.CALLER_GONE

        trio.run(case)


async def _freeze(request: Received, stream: trio.SocketStream) -> None:
    """Answer nothing until the other side closes."""
    await stream.receive_some(65536)
    raise trio.BrokenResourceError
