"""TCP proxy that delays, holds back, resets or does not open connections."""

import math
from collections.abc import Callable
from enum import StrEnum, unique

import trio

from carobwalk.http import reset_on_close
from carobwalk.model import Address
from soak._full_backlog import full_backlog

_RECEIVE_BYTES = 65_536
_DELAY_SECONDS = 0.15


@unique
class LinkState(StrEnum):
    """Fault of a link."""

    PASSING = 'passing'
    DELAYED = 'delayed'
    RESET = 'reset'
    CUT_THERE = 'cut-there'
    CUT_BACK = 'cut-back'
    SILENT = 'silent'
    UNOPENED = 'unopened'


_BLOCKING_UPSTREAM = frozenset(
    (LinkState.CUT_THERE, LinkState.SILENT, LinkState.UNOPENED)
)
_BLOCKING_DOWNSTREAM = frozenset(
    (LinkState.CUT_BACK, LinkState.SILENT, LinkState.UNOPENED)
)


class Link:
    """Forwards connections to its address to a target.

    Data that is held back is delivered once the link is passing again, unless
    the sender has reset the connection by then. While it is unopened, new
    connections are not established and open ones are silent; the kernel
    retries a pending one 1 s after its start and then at growing intervals.

    Args:
        target: Address to which connections are forwarded.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.address = target
        self._state = LinkState.PASSING
        self._changed = trio.Event()
        self._scopes: set[trio.CancelScope] = set()
        self._accept_scope = trio.CancelScope()

    def switch(self, state: LinkState) -> None:
        """Change the state, also for open connections."""
        self._state = state
        self._accept_scope.cancel()
        self._changed.set()
        self._changed = trio.Event()
        if state is LinkState.RESET:
            self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for scope in tuple(self._scopes):
            scope.cancel()

    async def run(
        self,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Forward connections until cancelled; the status is the address."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        self.address = Address('127.0.0.1', port)
        task_status.started(self.address)
        async with listeners[0] as listener, trio.open_nursery() as nursery:
            while True:
                await self._accept(listener, nursery)

    async def _accept(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Accept connections until the state changes."""
        self._accept_scope = trio.CancelScope()
        changed = self._changed
        if self._state is LinkState.UNOPENED:
            with full_backlog(listener):
                await changed.wait()
            return
        with self._accept_scope:
            while True:
                nursery.start_soon(self._serve, await listener.accept())

    async def _serve(self, downstream: trio.SocketStream) -> None:
        reset_on_close(downstream)
        if self._state is LinkState.RESET:
            await trio.aclose_forcefully(downstream)
            return
        try:
            upstream = await trio.open_tcp_stream(
                self.target.host,
                self.target.port,
            )
        except OSError:
            await trio.aclose_forcefully(downstream)
            return
        reset_on_close(upstream)
        try:
            await self._relay(downstream, upstream)
        finally:
            await trio.aclose_forcefully(downstream)
            await trio.aclose_forcefully(upstream)

    async def _relay(
        self,
        downstream: trio.SocketStream,
        upstream: trio.SocketStream,
    ) -> None:
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            self._scopes.add(scope)
            try:
                async with trio.open_nursery() as both:
                    both.start_soon(
                        self._forward,
                        downstream,
                        upstream,
                        _BLOCKING_UPSTREAM,
                        scope,
                    )
                    both.start_soon(
                        self._forward,
                        upstream,
                        downstream,
                        _BLOCKING_DOWNSTREAM,
                        scope,
                    )
            finally:
                self._scopes.discard(scope)

    async def _forward(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        blocking_states: frozenset[LinkState],
        scope: trio.CancelScope,
    ) -> None:
        """Forward one direction; a reset of either side ends both."""
        send, receive = trio.open_memory_channel[bytes](math.inf)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_read, source, send, scope.cancel)
            nursery.start_soon(
                self._write, receive, sink, blocking_states, scope
            )

    async def _write(
        self,
        chunks: trio.MemoryReceiveChannel[bytes],
        sink: trio.SocketStream,
        blocking_states: frozenset[LinkState],
        scope: trio.CancelScope,
    ) -> None:
        async for chunk in chunks:
            if self._state is LinkState.DELAYED:
                await trio.sleep(_DELAY_SECONDS)
            while self._state in blocking_states:
                await self._changed.wait()
            try:
                await (sink.send_all(chunk) if chunk else sink.send_eof())
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                scope.cancel()
                return


async def _read(
    source: trio.SocketStream,
    chunks: trio.MemorySendChannel[bytes],
    on_error: Callable[[], None],
) -> None:
    """Read until the end of the stream, passed on as an empty chunk."""
    async with chunks:
        try:
            while True:
                chunk = await source.receive_some(_RECEIVE_BYTES)
                await chunks.send(chunk)
                if not chunk:
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            on_error()
