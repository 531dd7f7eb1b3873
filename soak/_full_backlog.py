"""Listening sockets on which connections do not open."""

import socket
from collections.abc import Iterator
from contextlib import ExitStack, closing, contextmanager
from typing import Final

import trio

_BACKLOG: Final = 128
# A queue of length 0 takes one connection; the kernel drops further requests
# to connect without an answer.
_FILLING_CONNECTIONS: Final = 2


@contextmanager
def full_backlog(listener: trio.SocketListener) -> Iterator[None]:
    """Let no connection open within the context.

    Loopback loses no packets; a full queue of connections that nobody accepts
    has the same effect for whoever connects.

    Args:
        listener: Socket that nobody accepts connections from meanwhile.
    """
    address = listener.socket.getsockname()
    with ExitStack() as connections:
        listener.socket.listen(0)
        for _ in range(_FILLING_CONNECTIONS):
            filler = connections.enter_context(closing(socket.socket()))
            filler.setblocking(False)
            filler.connect_ex(address)
        try:
            yield
        finally:
            listener.socket.listen(_BACKLOG)
