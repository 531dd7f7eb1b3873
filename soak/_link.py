"""TCP link that delays, holds back, silences or resets what it carries."""

import math
from collections.abc import Callable
from enum import StrEnum, unique

import trio

from carobwalk.http import reset_on_close
from carobwalk.model import Address

_RECEIVE_BYTES = 65_536
_DELAY_SECONDS = 0.15


@unique
class LinkState(StrEnum):
    """What happens to bytes on a link."""

    PASSING = 'passing'
    DELAYED = 'delayed'
    RESET = 'reset'
    CUT_THERE = 'cut-there'
    CUT_BACK = 'cut-back'
    SILENT = 'silent'


_CUT_THERE = frozenset((LinkState.CUT_THERE, LinkState.SILENT))
_CUT_BACK = frozenset((LinkState.CUT_BACK, LinkState.SILENT))


class Link:
    """Passes bytes on between callers of its address and a target.

    What is held back is delivered when the link heals, unless its sender has
    reset the connection meanwhile.

    Args:
        target: Where the bytes go.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.address = target
        self._state = LinkState.PASSING
        self._changed = trio.Event()
        self._scopes: set[trio.CancelScope] = set()

    def switch(self, state: LinkState) -> None:
        """Change what happens from now on, open connections included."""
        self._state = state
        self._changed.set()
        self._changed = trio.Event()
        if state is LinkState.RESET:
            self.drop()

    def drop(self) -> None:
        """Reset all open connections."""
        for scope in tuple(self._scopes):
            scope.cancel()

    async def run(
        self,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Pass bytes on until cancelled; the status tells the address."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        self.address = Address('127.0.0.1', port)
        task_status.started(self.address)
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, near: trio.SocketStream) -> None:
        reset_on_close(near)
        if self._state is LinkState.RESET:
            await trio.aclose_forcefully(near)
            return
        try:
            far = await trio.open_tcp_stream(
                self.target.host,
                self.target.port,
            )
        except OSError:
            await trio.aclose_forcefully(near)
            return
        reset_on_close(far)
        try:
            await self._join(near, far)
        finally:
            await trio.aclose_forcefully(near)
            await trio.aclose_forcefully(far)

    async def _join(
        self,
        near: trio.SocketStream,
        far: trio.SocketStream,
    ) -> None:
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            self._scopes.add(scope)
            try:
                async with trio.open_nursery() as both:
                    both.start_soon(self._pass, near, far, _CUT_THERE, scope)
                    both.start_soon(self._pass, far, near, _CUT_BACK, scope)
            finally:
                self._scopes.discard(scope)

    async def _pass(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        cuts: frozenset[LinkState],
        scope: trio.CancelScope,
    ) -> None:
        """Pass one direction on; a reset of either side ends both."""
        send, receive = trio.open_memory_channel[bytes](math.inf)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_read, source, send, scope.cancel)
            nursery.start_soon(self._write, receive, sink, cuts, scope)

    async def _write(
        self,
        parts: trio.MemoryReceiveChannel[bytes],
        sink: trio.SocketStream,
        cuts: frozenset[LinkState],
        scope: trio.CancelScope,
    ) -> None:
        async for part in parts:
            if self._state is LinkState.DELAYED:
                await trio.sleep(_DELAY_SECONDS)
            while self._state in cuts:
                await self._changed.wait()
            try:
                await (sink.send_all(part) if part else sink.send_eof())
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                scope.cancel()
                return


async def _read(
    source: trio.SocketStream,
    parts: trio.MemorySendChannel[bytes],
    end: Callable[[], None],
) -> None:
    """Read until the end, which is passed on as an empty part."""
    async with parts:
        try:
            while True:
                part = await source.receive_some(_RECEIVE_BYTES)
                await parts.send(part)
                if not part:
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            end()
