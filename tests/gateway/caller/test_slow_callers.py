"""Tests of pipelining callers that read slowly or send without end."""

import trio

from tests.gateway.caller.pipelined_caller import (
    PipelinedCaller,
    encode,
    lookups,
    open_caller,
    run_virtually,
)
from tests.gateway.harness import GatewayHarness
from tests.gateway.raw_scenarios import OPEN_HEAD, add_server, run
from tests.http.raw_server import Script

_MEMORY_BYTES = 24_000_000
_BODY_BYTES = 1_500_000
# A connection gets a third of what the others leave free.
_SHARE_BYTES = _MEMORY_BYTES // 3
_LARGE = b'%scontent-length: %d\r\n\r\n%s' % (
    OPEN_HEAD,
    _BODY_BYTES,
    bytes(_BODY_BYTES),
)
# Large responses are tested on the real clock: the system may pause a transfer
# to a slow reader for longer than the virtual clock waits.
# What the sockets of both sides buffer is less.
_FAR_TOO_MUCH_BYTES = 32_000_000


class TestSlowReader:
    def test_bounded_memory(self) -> None:
        """Responses held for a slow reader take its share; all arrive."""
        # Guards against responses without bound, and against ones that fail
        # because others of the connection hold its memory.

        async def scenario(harness: GatewayHarness) -> None:
            await add_server(harness, 'reads', Script(_LARGE))
            await harness.add_backend('writes', 's2')
            caller = await open_caller(harness)
            large = encode('GET', '/reads/a', 'id1', deadline_ms=20_000)
            await caller.stream.send_all(large)
            await caller.receive(1)
            await caller.stream.send_all(large * 16)
            await self._wait_until_done(harness)
            held_bytes = harness.answer_memory.held_bytes
            assert 2 * _BODY_BYTES < held_bytes <= _SHARE_BYTES
            answer = await harness.send_request('POST', '/writes/a', b'x')
            assert answer.status == 200
            await caller.receive(16)
            assert caller.statuses.count(200) == 17
            assert {len(body) for body in caller.bodies} == {_BODY_BYTES}
            await trio.sleep(0.1)
            assert not harness.answer_memory.held_bytes

        run(scenario, _MEMORY_BYTES)

    async def _wait_until_done(self, harness: GatewayHarness) -> None:
        """Wait until several responses are held and no server is in use."""
        load = harness.loads.of(harness.directory.get('s1'))
        with trio.fail_after(10):
            while (
                load.in_flight
                or harness.answer_memory.held_bytes <= 2 * _BODY_BYTES
            ):
                await trio.sleep(0.01)

    def test_request_during_response(self) -> None:
        """A request that arrives while a response is sent is served."""
        # Guards against a connection that closes, as the parser has moved on
        # before the end of the response is sent.

        async def scenario(harness: GatewayHarness) -> None:
            large = _LARGE.replace(b'%d' % _BODY_BYTES, b'7500000')
            await add_server(harness, 'reads', Script(large + bytes(6_000_000)))
            caller = await open_caller(harness)
            request = encode('GET', '/reads/a', 'id1', deadline_ms=20_000)
            await caller.stream.send_all(request)
            await trio.sleep(0.1)
            await caller.stream.send_all(request)
            await trio.sleep(0.1)
            await caller.receive(2)
            assert caller.statuses == [200, 200]

        run(scenario, _MEMORY_BYTES)

    def test_never_reads(self) -> None:
        """A caller that doesn't read for 5 s is cut, and its memory free."""
        # Guards against responses that are held for ever.

        async def scenario(harness: GatewayHarness) -> None:
            await add_server(harness, 'reads', Script(_LARGE))
            caller = await open_caller(harness)
            large = encode('GET', '/reads/a', 'id1', deadline_ms=20_000)
            await caller.stream.send_all(large * 16)
            await trio.sleep(1)
            assert harness.answer_memory.held_bytes
            await trio.sleep(5)
            assert not harness.answer_memory.held_bytes

        run_virtually(scenario, _MEMORY_BYTES)


class TestEndlessSender:
    def test_requests(self) -> None:
        """A caller that sends requests without end is held back."""
        # Guards against reading ahead without bound.

        async def scenario(harness: GatewayHarness) -> None:
            reads = await harness.add_backend('reads', 's1')
            await harness.add_backend('writes', 's2', 0.4)
            caller = await open_caller(harness)
            await caller.stream.send_all(
                encode('POST', '/writes/a', 'first', b'x')
            )
            sent_bytes = await self._send_endlessly(caller, lookups(50))
            assert sent_bytes < _FAR_TOO_MUCH_BYTES
            assert not reads.requests
            assert harness.meter.pipelined.count('waiting') == 15

        run_virtually(scenario)

    def test_uploads(self) -> None:
        """Uploads that are read ahead stay within the share of memory."""
        # Guards against a body of the largest size for each of 16 requests.

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend('writes', 's1', 0.4)
            caller = await open_caller(harness)
            upload = encode('POST', '/writes/a', 'id', bytes(90_000))
            sent_bytes = await self._send_endlessly(caller, upload * 20)
            assert sent_bytes < _FAR_TOO_MUCH_BYTES
            held_bytes = harness.answer_memory.held_bytes
            assert 180_000 < held_bytes <= 300_000
            assert harness.meter.pipelined.count('waiting') == 3

        run_virtually(scenario, 900_000)

    async def _send_endlessly(
        self, caller: PipelinedCaller, requests: bytes
    ) -> int:
        """Return the bytes that the gateway accepts in 0.3 s."""
        sent_bytes = 0
        with trio.move_on_after(0.3):
            while sent_bytes < _FAR_TOO_MUCH_BYTES:
                await caller.stream.send_all(requests)
                sent_bytes += len(requests)
        return sent_bytes
