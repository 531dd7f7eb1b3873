"""Tests of callers that send requests before the first is answered."""

import trio

from tests.gateway.caller.pipelined_caller import (
    encode,
    lookups,
    open_caller,
    run_virtually,
)
from tests.gateway.harness import GatewayHarness
from tests.gateway.raw_scenarios import OPEN_HEAD, add_server
from tests.http.raw_server import Script

_SECONDS = 0.2


class TestConcurrency:
    def test_lookups_on_idle_servers(self) -> None:
        """12 reads of 0.2 s on four idle servers take 0.3 s at most."""
        # Guards against running them one after another, which took 2.45 s.

        async def scenario(harness: GatewayHarness) -> None:
            for number in range(4):
                await harness.add_backend('reads', f's{number}', _SECONDS)
            caller = await open_caller(harness)
            await caller.stream.send_all(lookups(12))
            await caller.receive(12)
            assert caller.statuses.count(200) == 12
            assert caller.ids == [f'id{number}' for number in range(12)]
            assert caller.milliseconds[-1] < 300

        run_virtually(scenario)

    def test_responses_in_order(self) -> None:
        """A response that is ready first waits for those ahead of it."""
        # Guards against responses in the order of their completion.

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend('reads', 's1', 0.3)
            quick = await harness.add_backend('keyed', 's2', 0.01)
            harness.owners.server = harness.directory.get('s2')
            caller = await open_caller(harness)
            await caller.stream.send_all(
                encode('GET', '/reads/a', 'slow')
                + encode('GET', '/keyed/a', 'quick').replace(
                    b'attempt-id', b'shard-key: 1\r\nattempt-id'
                )
            )
            await trio.sleep(0.1)
            assert [seen.id for seen in quick.requests] == [b'quick']
            assert not harness.loads.of(harness.directory.get('s2')).in_flight
            await caller.receive(2)
            assert caller.ids == ['slow', 'quick']
            assert caller.milliseconds[1] < 250

        run_virtually(scenario)

    def test_deadline_from_arrival(self) -> None:
        """A request that waits for another has the rest of its time left."""
        # Guards against a deadline that is counted from the start.

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend('writes', 's1', 0.3)
            reads = await harness.add_backend('reads', 's2')
            caller = await open_caller(harness)
            await caller.stream.send_all(
                encode('POST', '/writes/a', 'first', b'x')
                + encode('GET', '/reads/a', 'second')
                + encode('GET', '/reads/a', 'late', deadline_ms=250)
            )
            await caller.receive(3)
            assert caller.statuses == [200, 200, 503]
            assert b'not run' in caller.bodies[2]
            sent = dict(reads.requests[0].headers)
            assert 150 <= int(sent[b'deadline-ms']) <= 200
            assert len(reads.requests) == 1

        run_virtually(scenario)

    def test_deadline_of_unread(self) -> None:
        """The time also runs for requests beyond the limit on reading."""
        # Guards against a deadline that is counted from the parsing.

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend('writes', 's1', 0.3)
            # With room for all, so that none is refused for want of time.
            backends = [
                await harness.add_backend('reads', f's{number}')
                for number in range(2, 5)
            ]
            caller = await open_caller(harness)
            await caller.stream.send_all(
                encode('POST', '/writes/a', 'first', b'x') + lookups(16)
            )
            await caller.receive(17)
            assert caller.statuses.count(200) == 17
            headers = {
                seen.id: dict(seen.headers)
                for backend in backends
                for seen in backend.requests
            }
            last = headers[b'id15']
            assert int(last[b'deadline-ms']) <= 200

        run_virtually(scenario)


class TestOrder:
    def test_write_between_reads(self) -> None:
        """A write runs after the reads before it; those after it wait."""
        # Guards against a write that runs at the same time as its neighbours.

        async def scenario(harness: GatewayHarness) -> None:
            reads = await harness.add_backend('reads', 's1', 0.1)
            writes = await harness.add_backend('writes', 's2', 0.1)
            caller = await open_caller(harness)
            await caller.stream.send_all(
                lookups(2)
                + encode('POST', '/writes/a', 'write', b'x')
                + encode('GET', '/reads/a', 'after')
            )
            await trio.sleep(0.05)
            assert not writes.requests
            await trio.sleep(0.1)
            assert len(writes.requests) == 1
            assert len(reads.requests) == 2
            await caller.receive(4)
            assert caller.ids == ['id0', 'id1', 'write', 'after']
            assert caller.statuses.count(200) == 4
            assert [seen.id for seen in reads.requests][2:] == [b'after']
            outcomes = harness.meter.pipelined
            assert outcomes == ['concurrent', 'waiting', 'waiting']

        run_virtually(scenario)

    def test_bad_request_behind_good_ones(self) -> None:
        """Good requests are answered, then the bad one; then it closes."""
        # Guards against a refusal that overtakes or cuts other responses.

        async def scenario(harness: GatewayHarness) -> None:
            reads = await harness.add_backend('reads', 's1', 0.1)
            writes = await harness.add_backend('writes', 's2', 0.1)
            caller = await open_caller(harness)
            await caller.stream.send_all(
                lookups(2)
                + encode('POST', '/writes/a', 'write', b'x')
                + b'BAD\r\n\r\n'
                + encode('GET', '/reads/a', 'behind')
            )
            await caller.receive(5)
            assert caller.statuses == [200, 200, 200, 400]
            assert caller.headers[-1][b'connection'] == b'close'
            assert len(reads.requests) == 2
            assert len(writes.requests) == 1

        run_virtually(scenario)

    def test_close_behind_good_ones(self) -> None:
        """Requests behind one with ``Connection: close`` are not run."""
        # Guards against requests that run without a response.

        async def scenario(harness: GatewayHarness) -> None:
            reads = await harness.add_backend('reads', 's1', 0.1)
            caller = await open_caller(harness)
            closing = encode('GET', '/reads/a', 'last').replace(
                b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n'
            )
            await caller.stream.send_all(lookups(2) + closing + lookups(3))
            await caller.receive(6)
            assert caller.ids == ['id0', 'id1', 'last']
            assert caller.headers[-1][b'connection'] == b'close'
            assert len(reads.requests) == 3

        run_virtually(scenario)

    def test_head_behind_get(self) -> None:
        """The response to a pipelined HEAD has no body."""
        # Guards against a response that is framed for the method of another
        # request of the connection.

        async def scenario(harness: GatewayHarness) -> None:
            script = Script(b'%scontent-length: 12\r\n\r\n' % OPEN_HEAD)
            await add_server(harness, 'reads', script)
            await harness.add_backend('writes', 's2')
            stream = await trio.open_tcp_stream(*harness.address)
            await stream.send_all(
                encode('HEAD', '/reads/a', 'id1')
                + encode('POST', '/writes/a', 'behind', b'x')
            )
            received = b''
            while b'made by the server' not in received:
                received += await stream.receive_some(10_000)
            first, second, _ = received.split(b'\r\n\r\n')
            assert b'content-length: 0' in first
            assert second.startswith(b'HTTP/1.1 200')

        run_virtually(scenario)

    def test_continue_after_responses(self) -> None:
        """An interim response follows the responses ahead of it."""
        # Guards against ``100 Continue`` taken for that of another request.

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend('reads', 's1', 0.2)
            await harness.add_backend('writes', 's2')
            stream = await trio.open_tcp_stream(*harness.address)
            upload = encode('POST', '/writes/a', 'upload', b'x' * 10)
            head = upload[:-10].replace(
                b'\r\n\r\n', b'\r\nexpect: 100-continue\r\n\r\n'
            )
            await stream.send_all(lookups(1) + head)
            received = b''
            while b'HTTP/1.1 100' not in received:
                received += await stream.receive_some(10_000)
            assert received.index(b'id0') < received.index(b'HTTP/1.1 100')
            await stream.send_all(b'x' * 10)
            while b'upload' not in received:
                received += await stream.receive_some(10_000)

        run_virtually(scenario)

    def test_long_upload_behind_read(self) -> None:
        """An upload of unknown length is read once those ahead are answered."""
        # Guards against unbounded memory, and against a body left unread.

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend('reads', 's1', 0.2)
            writes = await harness.add_backend('writes', 's2')
            caller = await open_caller(harness)
            chunked = encode('POST', '/writes/a', 'chunked').replace(
                b'content-length: 0', b'transfer-encoding: chunked'
            )
            chunks = b'3\r\nabc\r\n0\r\n\r\n'
            await caller.stream.send_all(
                b''.join((lookups(1), chunked, chunks, lookups(1)))
            )
            await caller.receive(3)
            assert caller.statuses.count(200) == 3
            assert caller.ids == ['id0', 'chunked', 'id0']
            assert writes.requests[0].body == b'abc'

        run_virtually(scenario)
