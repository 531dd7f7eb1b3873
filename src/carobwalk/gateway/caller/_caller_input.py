"""Bytes that arrive on a caller's connection."""

import math
from typing import Final

import trio

from carobwalk.gateway.caller._peer_state import has_peer_left
from carobwalk.http import H11Stream

_RECEIVE_BYTES: Final = 65_536
# Size of a read while requests are in progress. What is left unread of it is
# not counted as memory, like a small answer.
_AHEAD_BYTES: Final = 16_384
_POLL_SECONDS: Final = 0.1


class CallerInput:
    """Waits for requests, and for the end of a connection.

    Args:
        stream: Stream to the caller.
        http: HTTP protocol state of the connection.

    Attributes:
        caller: IP address of the caller.
        idle_scope: Scope of the wait for a request on an idle connection.
    """

    def __init__(self, stream: trio.SocketStream, http: H11Stream) -> None:
        self.idle_scope = trio.CancelScope()
        self.caller = str(stream.socket.getpeername()[0])
        self._stream = stream
        self._http = http
        self._wait_scope: trio.CancelScope | None = None
        self._changed = trio.Event()

    @property
    def has_unparsed(self) -> bool:
        """Whether bytes have been received that are not parsed yet."""
        return bool(self._http.protocol.trailing_data[0])

    @property
    def has_unread(self) -> bool:
        """Whether closing the connection now would reset it."""
        return self.has_unparsed or self._stream.socket.is_readable()

    def begin_idle(self, seconds: float) -> None:
        """Limit the wait for the next request; none is in progress.

        Args:
            seconds: Longest time to wait.
        """
        if self._wait_scope is not None:
            self._wait_scope.deadline = trio.current_time() + seconds
            self.idle_scope = self._wait_scope

    def notify(self) -> None:
        """Wake ``wait_for_change``: a response has been sent."""
        self._changed.set()

    async def wait_for_bytes(self, idle_seconds: float | None) -> bool:
        """Wait for bytes to parse, and return whether there are any.

        There are none if the caller has disconnected, or was idle too long.

        Args:
            idle_seconds: Longest time to wait if no request is in progress,
                otherwise ``None``.
        """
        if self.has_unparsed:
            return True
        size = _AHEAD_BYTES if idle_seconds is None else _RECEIVE_BYTES
        scope = trio.CancelScope(deadline=math.inf)
        self._wait_scope = scope
        if idle_seconds is not None:
            self.begin_idle(idle_seconds)
        chunk = b''
        with scope:
            chunk = bytes(await self._stream.receive_some(size))
        self._wait_scope = None
        if self.idle_scope is scope:
            self.idle_scope = trio.CancelScope()
        if not chunk and self._stream.socket.is_readable():
            # A request came in the moment in which the wait was ended.
            chunk = bytes(await self._stream.receive_some(_RECEIVE_BYTES))
        if not chunk:
            return False
        self._http.feed(chunk)
        return True

    async def wait_for_change(self) -> bool:
        """Wait until a response has been sent; no more is read meanwhile.

        Returns:
            Whether the caller is still connected.
        """
        self._changed = trio.Event()
        while not self._changed.is_set():
            if has_peer_left(self._stream):
                return False
            with trio.move_on_after(_POLL_SECONDS):
                await self._changed.wait()
        return True
