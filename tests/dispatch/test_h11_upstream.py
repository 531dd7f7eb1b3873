"""Tests of the exchange of requests with a backend server over TCP."""

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
    SendTokens,
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
    kind_and_outcome,
    placement_of,
)
from tests.dispatch.loopback import (
    LoopbackServer,
    Received,
    Script,
    respond_ok,
)

TOKENS = SendTokens(FenceToken(1, 1), FenceToken(1, 1))


@asynccontextmanager
async def serving(script: Script = respond_ok) -> AsyncIterator[LoopbackServer]:
    """Run a server within the block."""
    server = LoopbackServer(script)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve)
        yield server
        nursery.cancel_scope.cancel()


def failure_in(result: Result[Completion, Failure]) -> Failure:
    """Return the failure of a result that must be one."""
    assert isinstance(result, Err)
    return result.err_value


def http_head(*lines: str) -> bytes:
    """Return an HTTP head."""
    return '\r\n'.join((*lines, '', '')).encode()


def responding_with(response: bytes) -> Script:
    """Return a script that writes a response and closes the connection."""

    async def script(request: Received, stream: trio.SocketStream) -> None:
        await stream.send_all(response)
        await stream.aclose()

    return script


class TestExchange:
    def test_passes_headers_and_body(self) -> None:
        """Request and response pass unchanged, with the fencing headers."""

        async def case() -> None:
            sink = ListSink()
            async with serving() as server:
                pool = DispatchPool(context_of())
                result = await pool.forward(
                    call_of(b'one', b'two'),
                    placement_of(server.endpoint),
                    sink,
                )
            assert isinstance(result, Ok)
            assert result.ok_value.sent_bytes == 6
            assert (sink.status, sink.body) == (200, b'onetwo')
            headers = server.received[0].headers
            assert headers['carobwalk-fence'] == '3.7'
            assert headers['carobwalk-shard'] == '5'
            assert headers['carobwalk-request'] == 'request-1'
            assert 0 < int(headers['carobwalk-deadline-ms']) <= 5000
            assert 'connection' not in headers

        trio.run(case)

    def test_reuses_connections(self) -> None:
        """Sequential requests share a connection."""

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
        """An idle connection that the server closed fails no request."""

        async def case() -> None:
            async with serving(_respond_and_close) as server:
                pool = DispatchPool(context_of())
                for _ in range(3):
                    result = await pool.forward(
                        call_of(b'x'),
                        placement_of(server.endpoint),
                        ListSink(),
                    )
                    await trio.sleep(0.02)
                    assert isinstance(result, Ok)
            assert len(server.received) == 3

        trio.run(case)

    # Bytes left after a response were parsed as the next response.
    def test_surplus_response(self) -> None:
        """A second response to one request is not taken for the next one's."""

        async def case() -> None:
            async with serving(_respond_twice) as server:
                pool = DispatchPool(context_of())
                for body in (b'one', b'two'):
                    sink = ListSink()
                    await pool.forward(
                        call_of(body),
                        placement_of(server.endpoint),
                        sink,
                    )
                    assert sink.body == body
            assert server.connections == 2

        trio.run(case)

    def test_streams_large_bodies(self) -> None:
        """A body larger than all buffers is streamed in both directions."""

        async def case() -> None:
            chunks = [bytes([number % 256]) * 65536 for number in range(64)]
            sink = ListSink()
            async with serving(_echo_chunked) as server:
                pool = DispatchPool(context_of())
                result = await pool.forward(
                    call_of(*chunks, body_length=None),
                    placement_of(server.endpoint),
                    sink,
                )
            assert isinstance(result, Ok)
            assert sink.body == b''.join(chunks)

        trio.run(case)


class TestConnections:
    def test_never_exceed_the_limit(self) -> None:
        """Opening more connections than the limit raises an error."""

        async def case() -> None:
            upstream = H11Upstream(endpoint_of('full'), 0, TrioClock())
            gate = SendGate(lambda: Ok(TOKENS), idempotent=True, name='r')
            call = call_of()
            request = UpstreamRequest(call.head, call.body, None, gate, 1)
            with pytest.raises(ConnectionLimitError):
                await upstream.exchange(request, ListSink())
            assert gate.sends == 0

        trio.run(case)


async def _respond_twice(request: Received, stream: trio.SocketStream) -> None:
    head = http_head('HTTP/1.1 200 OK', f'content-length: {len(request.body)}')
    response = head + request.body
    await stream.send_all(response + response)


async def _respond_and_close(
    request: Received,
    stream: trio.SocketStream,
) -> None:
    await respond_ok(request, stream)
    await stream.aclose()


async def _echo_chunked(request: Received, stream: trio.SocketStream) -> None:
    head = http_head('HTTP/1.1 200 OK', 'transfer-encoding: chunked')
    await stream.send_all(head)
    body = request.body
    for start in range(0, len(body), 65536):
        part = body[start : start + 65536]
        await stream.send_all(b'%x\r\n%s\r\n' % (len(part), part))
    await stream.send_all(b'0\r\n\r\n')


REFUSAL = http_head(
    'HTTP/1.1 503 Busy',
    'content-length: 0',
    'carobwalk-outcome: not-run',
    'carobwalk-reason: shed',
    'retry-after: 2',
)
FENCED = http_head(
    'HTTP/1.1 409 Conflict',
    'content-length: 0',
    'carobwalk-outcome: not-run',
    'carobwalk-reason: fenced',
)
PLAIN_503 = http_head('HTTP/1.1 503 Busy', 'content-length: 0')
TRUNCATED = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf'
NO_LENGTH = b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nperhaps all'
TRUNCATED_CHUNKED = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n'
)


class TestFailures:
    @pytest.mark.parametrize(
        ('response', 'kind', 'outcome'),
        [
            (REFUSAL, FailureKind.SHED, Outcome.NOT_RUN),
            (FENCED, FailureKind.FENCED, Outcome.NOT_RUN),
            (b'', FailureKind.SERVER_LOST, Outcome.UNKNOWN),
            (b'HTTP/1.1 20', FailureKind.SERVER_LOST, Outcome.UNKNOWN),
            (TRUNCATED, FailureKind.SERVER_LOST, Outcome.UNKNOWN),
            (TRUNCATED_CHUNKED, FailureKind.SERVER_LOST, Outcome.UNKNOWN),
            (NO_LENGTH, FailureKind.SERVER_LOST, Outcome.UNKNOWN),
        ],
    )
    def test_responses(
        self,
        response: bytes,
        kind: FailureKind,
        outcome: Outcome,
    ) -> None:
        """A sent request is not run only if the server says so explicitly."""

        async def case() -> None:
            async with serving(responding_with(response)) as server:
                pool = DispatchPool(context_of())
                result = await pool.forward(
                    call_of(b'claim'),
                    placement_of(server.endpoint),
                    ListSink(),
                )
            assert kind_and_outcome(result) == (kind, outcome)
            assert len(server.received) == 1

        trio.run(case)

    def test_plain_503_is_a_response(self) -> None:
        """An error status without that statement is forwarded unchanged."""

        async def case() -> None:
            sink = ListSink()
            async with serving(responding_with(PLAIN_503)) as server:
                pool = DispatchPool(context_of())
                result = await pool.forward(
                    call_of(b'claim'),
                    placement_of(server.endpoint),
                    sink,
                )
            assert isinstance(result, Ok)
            assert sink.status == 503

        trio.run(case)

    def test_refused_connection(self) -> None:
        """A request whose connection was refused did not run."""

        async def case() -> None:
            pool = DispatchPool(context_of())
            result = await pool.forward(
                call_of(b'claim'),
                placement_of(endpoint_of('gone', port=1)),
                ListSink(),
            )
            expected = (FailureKind.SERVER_UNREACHABLE, Outcome.NOT_RUN)
            assert kind_and_outcome(result) == expected

        trio.run(case)

    def test_no_lease(self) -> None:
        """Without a lease nothing is sent."""

        async def case() -> None:
            leases = FakeLeases(result=Err(NoLease('lapsed')))
            async with serving() as server:
                pool = DispatchPool(context_of(leases))
                result = await pool.forward(
                    call_of(b'claim'),
                    placement_of(server.endpoint),
                    ListSink(),
                )
            expected = (FailureKind.NOT_DISPATCHER, Outcome.NOT_RUN)
            assert kind_and_outcome(result) == expected
            assert not server.received

        trio.run(case)

    def test_deadline_while_running(self) -> None:
        """A sent request without a response by its deadline is unknown."""

        async def case() -> None:
            async with serving(_freeze) as server:
                pool = DispatchPool(context_of())
                result = await pool.forward(
                    call_of(b'claim', deadline=0.1),
                    placement_of(server.endpoint),
                    ListSink(),
                )
                await trio.sleep(0.05)
                assert server.open_connections == 0
            assert kind_and_outcome(result) == (
                FailureKind.DEADLINE,
                Outcome.UNKNOWN,
            )

        trio.run(case)

    def test_caller_disconnects_during_body(self) -> None:
        """A request whose caller disconnects during the body is unknown."""

        async def case() -> None:
            async with serving() as server:
                pool = DispatchPool(context_of())
                result = await pool.forward(
                    call_of(b'half', BodyError('left'), body_length=9),
                    placement_of(server.endpoint),
                    ListSink(),
                )
            assert kind_and_outcome(result) == (
                FailureKind.CALLER_GONE,
                Outcome.UNKNOWN,
            )
            assert not server.received

        trio.run(case)

    def test_caller_disconnects_during_response(self) -> None:
        """The connection is closed if the caller disconnects."""

        async def case() -> None:
            async with serving() as server:
                pool = DispatchPool(context_of())
                result = await pool.forward(
                    call_of(b'claim'),
                    placement_of(server.endpoint),
                    ListSink(disconnects_after=0),
                )
                await trio.sleep(0.05)
                assert server.open_connections == 0
            assert failure_in(result).kind is FailureKind.CALLER_GONE

        trio.run(case)


async def _freeze(request: Received, stream: trio.SocketStream) -> None:
    """Send no response until the peer closes the connection."""
    await stream.receive_some(65536)
    raise trio.BrokenResourceError
