"""State of a TCP connection at the system."""

import errno
import socket
from typing import Final

import trio

# States of ``tcpi_state`` in which the other side has ended the connection.
_ENDED_STATES: Final = frozenset((7, 8))
_CLOSED_ERRORS: Final = frozenset((errno.EBADF, errno.ENOTCONN))


def has_peer_left(stream: trio.SocketStream) -> bool:
    """Return whether the other side has closed or reset a connection.

    Finds it out while bytes that were received before are left unread. Bytes
    that the other side still has to send hide its close. A system that doesn't
    tell the state hides it as well: the connection then counts as open.

    Args:
        stream: Stream of a connected TCP socket.
    """
    try:
        state = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError as error:
        return error.errno in _CLOSED_ERRORS
    return bool(state) and state[0] in _ENDED_STATES
