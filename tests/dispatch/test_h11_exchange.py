"""Tests of the exchange of requests with a backend server over TCP."""

import trio
from result import Ok

from carobwalk.dispatch import DispatchPool
from tests.dispatch.calls import call_of, placement_of
from tests.dispatch.fakes import ListSink
from tests.dispatch.loopback import Received, http_head, respond_ok, serving
from tests.dispatch.pools import context_of


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
