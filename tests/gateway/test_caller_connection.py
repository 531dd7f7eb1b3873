"""Tests of callers that disconnect, and of a shutdown."""

import socket

import trio

from tests.gateway.harness import GatewayHarness, exchange

_LOOKUP = (
    b'GET /reads/a HTTP/1.1\r\nhost: a.example\r\nattempt-id: left%d\r\n'
    b'deadline-ms: 500\r\n\r\n'
)


class TestCallers:
    def test_disconnect_cancels_read(self, run_scenario) -> None:
        """A read is cancelled when its caller disconnects."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('reads', 's1', seconds=5)
            with trio.move_on_after(0.2):
                await harness.send_request('GET', '/reads/a')
            await trio.sleep(0.2)
            assert backend.cancelled_ids == [b'id1']

        run_scenario(scenario)

    def test_disconnect_before_request_is_read(self, run_scenario) -> None:
        """A request whose caller disconnected before it is read is not sent."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('reads', 's1')
            await harness.send_request('GET', '/reads/a')
            for number in range(20):
                # Blocking calls, so that the gateway runs only after the close.
                with socket.create_connection(harness.address) as caller:
                    caller.sendall(_LOOKUP % number)
            await trio.sleep(0.2)
            assert [seen.id for seen in backend.requests] == [b'id1']

        run_scenario(scenario)

    def test_disconnect_does_not_cancel_write(self, run_scenario) -> None:
        """A write runs to its end although its caller disconnects."""

        async def scenario(harness: GatewayHarness) -> None:
            backend = await harness.add_backend('writes', 's1', seconds=0.2)
            with trio.move_on_after(0.1):
                await harness.send_request('POST', '/writes/a', b'x')
            while harness.loads.of(harness.directory.get('s1')).in_flight:
                await trio.sleep(0.05)
            assert backend.requests[0].id == b'id1'
            assert backend.cancelled_ids == []

        run_scenario(scenario)

    def test_stop_finishes_requests(self, run_scenario) -> None:
        """Requests in flight are answered completely during a shutdown."""

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend('writes', 's1', seconds=0.3)
            answers = []

            async def ask() -> None:
                answers.append(
                    await harness.send_request('POST', '/writes/a', b'x')
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.1)
                harness.is_stopping = True
                assert await harness.server.close(60)
            assert answers[0].status == 200
            assert answers[0].headers[b'connection'] == b'close'

        run_scenario(scenario)

    def test_stop_closes_idle_connections(self, run_scenario) -> None:
        """Idle connections of callers do not delay a shutdown."""

        async def scenario(harness: GatewayHarness) -> None:
            await harness.add_backend('reads', 's1')
            http = await harness.open()
            await exchange(http, 'GET', '/reads/a')
            harness.is_stopping = True
            assert await harness.server.close(60)

        run_scenario(scenario)
