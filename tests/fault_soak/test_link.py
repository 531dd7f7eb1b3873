"""Tests of the links that inject faults."""

import pytest
import trio

from carobwalk.model import Address
from soak._link import Link, LinkState

_SHORT_SECONDS = 0.2
# Timeout of grants in the routers, connection set-up included.
ORDER_TIMEOUT_SECONDS = 0.4


async def _echo(stream: trio.SocketStream) -> None:
    async for data in stream:
        await stream.send_all(data)


async def _open(nursery: trio.Nursery) -> tuple[Link, trio.SocketStream]:
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(trio.serve_listeners, _echo, listeners)
    link = Link(Address('127.0.0.1', port))
    await nursery.start(link.run)
    stream = await trio.open_tcp_stream('127.0.0.1', link.address.port)
    return link, stream


def _run_scenario(scenario) -> None:
    async def body() -> None:
        async with trio.open_nursery() as nursery:
            link, stream = await _open(nursery)
            await scenario(link, stream)
            nursery.cancel_scope.cancel()

    trio.run(body)


async def _exchange(stream: trio.SocketStream, data: bytes) -> bytes:
    """Send data and return the echo, nothing if it is not received soon."""
    await stream.send_all(data)
    with trio.move_on_after(_SHORT_SECONDS):
        return await stream.receive_some(100)
    return b''


class TestLink:
    @pytest.mark.parametrize(
        'state',
        [LinkState.CUT_THERE, LinkState.CUT_BACK, LinkState.SILENT],
    )
    def test_cut_and_healed(self, state: LinkState) -> None:
        """Data that is held back arrives when the link is passing again."""

        async def scenario(link: Link, stream: trio.SocketStream) -> None:
            assert await _exchange(stream, b'one') == b'one'
            link.switch(state)
            assert not await _exchange(stream, b'two')
            link.switch(LinkState.PASSING)
            assert await stream.receive_some(100) == b'two'

        _run_scenario(scenario)

    def test_delayed(self) -> None:
        """Data arrives delayed and unchanged."""

        async def scenario(link: Link, stream: trio.SocketStream) -> None:
            link.switch(LinkState.DELAYED)
            began = trio.current_time()
            await stream.send_all(b'one')
            assert await stream.receive_some(100) == b'one'
            assert trio.current_time() - began >= 2 * 0.15

        _run_scenario(scenario)

    def test_reset(self) -> None:
        """Open connections are reset."""

        async def scenario(link: Link, stream: trio.SocketStream) -> None:
            assert await _exchange(stream, b'one') == b'one'
            link.switch(LinkState.RESET)
            with pytest.raises(trio.BrokenResourceError):
                await stream.receive_some(100)

        _run_scenario(scenario)

    def test_unopened(self) -> None:
        """Connections do not open, and open ones are silent until healed."""

        async def scenario(link: Link, stream: trio.SocketStream) -> None:
            link.switch(LinkState.UNOPENED)
            assert not await _exchange(stream, b'one')
            with trio.move_on_after(ORDER_TIMEOUT_SECONDS) as waiting:
                await trio.open_tcp_stream('127.0.0.1', link.address.port)
            assert waiting.cancelled_caught
            link.switch(LinkState.PASSING)
            assert await stream.receive_some(100) == b'one'
            late = await trio.open_tcp_stream('127.0.0.1', link.address.port)
            assert await _exchange(late, b'two') == b'two'

        _run_scenario(scenario)
