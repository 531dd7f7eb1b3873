"""Tests of requests to a backend server that fail."""

import pytest
import trio
from result import Err, Ok, Result

from carobwalk.dispatch import DispatchPool
from carobwalk.model import BodyError, Completion, Failure, FailureKind, Outcome
from carobwalk.ownership import NoLease
from tests.dispatch.calls import call_of, endpoint_of, placement_of
from tests.dispatch.fakes import FakeLeases, ListSink
from tests.dispatch.loopback import Received, Script, http_head, serving
from tests.dispatch.pools import context_of, kind_and_outcome


def failure_in(result: Result[Completion, Failure]) -> Failure:
    """Return the failure of a result that must be one."""
    assert isinstance(result, Err)
    return result.err_value


def responding_with(response: bytes) -> Script:
    """Return a script that writes a response and closes the connection."""

    async def script(request: Received, stream: trio.SocketStream) -> None:
        await stream.send_all(response)
        await stream.aclose()

    return script


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
NO_LENGTH_1_0 = b'HTTP/1.0 200 OK\r\n\r\nperhaps all'
NO_LENGTH_HINTED = b'HTTP/1.1 103 Early Hints\r\n\r\n%s' % NO_LENGTH
# A status outside of HTTP says nothing of the request.
STATUS_000 = http_head('HTTP/1.1 000 None', 'content-length: 0')
STATUS_099 = http_head('HTTP/1.1 099 None', 'content-length: 0')
STATUS_101 = http_head('HTTP/1.1 101 Switch', 'content-length: 0')
STATUS_600 = http_head('HTTP/1.1 600 None', 'content-length: 0')
STATUS_999 = http_head('HTTP/1.1 999 None', 'content-length: 0')
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
            (NO_LENGTH_1_0, FailureKind.SERVER_LOST, Outcome.UNKNOWN),
            (NO_LENGTH_HINTED, FailureKind.SERVER_LOST, Outcome.UNKNOWN),
            (STATUS_000, FailureKind.SERVER_LOST, Outcome.UNKNOWN),
            (STATUS_099, FailureKind.SERVER_LOST, Outcome.UNKNOWN),
            (STATUS_101, FailureKind.SERVER_LOST, Outcome.UNKNOWN),
            (STATUS_600, FailureKind.SERVER_LOST, Outcome.UNKNOWN),
            (STATUS_999, FailureKind.SERVER_LOST, Outcome.UNKNOWN),
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
