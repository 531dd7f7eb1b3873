"""Tests of pipelined requests whose caller, connection or process ends."""

import trio

from carobwalk.gateway import GatewayServer
from carobwalk.http import reset_on_close
from tests.gateway.caller.pipelined_caller import (
    PipelinedCaller,
    encode,
    lookups,
    open_caller,
    run_virtually,
)
from tests.gateway.harness import GatewayHarness


async def _close(caller: PipelinedCaller, *, is_reset: bool) -> None:
    if is_reset:
        reset_on_close(caller.stream)
    await trio.aclose_forcefully(caller.stream)


class TestCallerLeft:
    def test_reads_cancelled(self) -> None:
        """All reads of a caller that disconnects are cancelled."""
        # Guards against servers that work for nobody.
        for is_reset in (False, True):
            self._leave(is_reset=is_reset)

    def test_waiting_not_sent(self) -> None:
        """A write runs to its end; what waits for it is never sent."""
        # Guards against requests that are sent after their caller has left.

        async def scenario(harness: GatewayHarness) -> None:
            writes = await harness.add_backend('writes', 's1', 0.2)
            reads = await harness.add_backend('reads', 's2')
            caller = await open_caller(harness)
            await caller.stream.send_all(
                encode('POST', '/writes/a', 'write', b'x')
                + lookups(2)
                + encode('POST', '/writes/a', 'never', b'x')
            )
            await trio.sleep(0.1)
            await _close(caller, is_reset=False)
            await trio.sleep(0.5)
            assert [seen.id for seen in writes.requests] == [b'write']
            assert not writes.cancelled_ids
            assert not reads.requests
            dropped = harness.log.named('RequestDropped')
            assert [event.request for event in dropped] == [
                'id0',
                'id1',
                'never',
            ]
            assert {event.cause for event in dropped} == {'the caller left'}
            assert harness.meter.pipelined.count('dropped') == 3

        run_virtually(scenario)

    def test_behind_unread(self) -> None:
        """A caller is seen to leave also while its input is left unread."""
        # Guards against a full connection that hides the disconnect, which
        # only a read reports.

        async def scenario(harness: GatewayHarness) -> None:
            reads = await harness.add_backend('reads', 's1', 0.5)
            caller = await open_caller(harness)
            await caller.stream.send_all(lookups(200))
            await trio.sleep(0.05)
            begun = len(reads.requests)
            assert begun
            await _close(caller, is_reset=False)
            await trio.sleep(0.2)
            assert len(reads.cancelled_ids) == begun
            assert len(reads.requests) == begun

        run_virtually(scenario)

    def _leave(self, *, is_reset: bool) -> None:
        async def scenario(harness: GatewayHarness) -> None:
            reads = await harness.add_backend('reads', 's1', 0.3)
            caller = await open_caller(harness)
            await caller.stream.send_all(lookups(3))
            await trio.sleep(0.1)
            assert len(reads.requests) == 3
            await _close(caller, is_reset=is_reset)
            await trio.sleep(0.05)
            assert len(reads.cancelled_ids) == 3
            assert len(harness.log.named('CallerLeft')) == 3

        run_virtually(scenario)


class TestStop:
    def test_begun_answered(self) -> None:
        """A stop answers what has begun; what waits is not sent."""
        # Guards against cut responses, and a stop that lasts for the queue.

        async def scenario(harness: GatewayHarness) -> None:
            reads = await harness.add_backend('reads', 's1', 0.2)
            writes = await harness.add_backend('writes', 's2')
            caller = await open_caller(harness)
            await caller.stream.send_all(
                lookups(2) + encode('POST', '/writes/a', 'waits', b'x')
            )
            await trio.sleep(0.1)
            harness.is_stopping = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_late, caller)
                nursery.start_soon(caller.receive, 4)
                assert await harness.server.close(2)
            assert caller.ids == ['id0', 'id1']
            assert caller.statuses == [200, 200]
            assert b'connection' not in caller.headers[0]
            assert caller.headers[1][b'connection'] == b'close'
            assert len(reads.requests) == 2
            assert not writes.requests
            assert len(harness.log.named('RequestDropped')) == 1

        run_virtually(scenario)

    async def _send_late(self, caller: PipelinedCaller) -> None:
        await trio.sleep(0.02)
        await caller.stream.send_all(lookups(1))


class TestFaults:
    def test_crash(self) -> None:
        """An exception ends all requests of its connection, no others."""
        # Guards against a connection that hangs or a process that ends.

        class CrashingForwarder:
            """Forwarder that crashes for one request."""

            def __init__(self, forwarder):
                self._forwarder = forwarder

            async def run(self, request, progress):
                """Forward a request or raise an exception."""
                if request.id == b'id1':
                    raise ZeroDivisionError('fault')
                return await self._forwarder.run(request, progress)

        async def scenario(harness: GatewayHarness) -> None:
            reads = await harness.add_backend('reads', 's1', 0.2)
            caller = await open_caller(harness)
            await caller.stream.send_all(lookups(3))
            await caller.receive(3)
            assert not caller.statuses
            assert len(harness.log.named('ConnectionCrashed')) == 1
            await trio.sleep(0.3)
            assert len(reads.cancelled_ids) == len(reads.requests)
            answer = await harness.send_request(
                'GET', '/reads/a', request_id='other'
            )
            assert answer.status == 200

        async def with_fault(harness: GatewayHarness) -> None:
            service = harness.server._service
            object.__setattr__(
                service, 'forwarder', CrashingForwarder(service.forwarder)
            )
            assert isinstance(harness.server, GatewayServer)
            await scenario(harness)

        run_virtually(with_fault)

    def test_idle_after_pipeline(self) -> None:
        """A connection is idle once its last response has been sent."""
        # Guards against connections that never time out, or too early.

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend('reads', 's1', 0.2)
            caller = await open_caller(harness)
            await caller.stream.send_all(lookups(3))
            await caller.receive(3)
            await trio.sleep(4.9)
            await caller.stream.send_all(lookups(1))
            await caller.receive(1)
            assert caller.statuses.count(200) == 4
            started_at = trio.current_time()
            await caller.receive(1)
            assert round(trio.current_time() - started_at) == 5
            assert len(caller.statuses) == 4

        run_virtually(scenario)

    def test_slow_head_behind_read(self) -> None:
        """A head that is not completed in time is refused, in order."""
        # Guards against a head time-out that a request in progress hides.

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend('reads', 's1', 0.4)
            caller = await open_caller(harness)
            await caller.stream.send_all(b'%sGET /reads/a HT' % lookups(1))
            await caller.receive(2)
            assert caller.statuses == [200, 408]
            assert 1000 <= caller.milliseconds[1] < 1100

        run_virtually(scenario)
