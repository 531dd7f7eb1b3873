"""State of a TCP connection at the system."""

import socket
from typing import Final

import trio

# States of ``tcpi_state`` in which the other side has ended the connection.
_ENDED_STATES: Final = frozenset((7, 8))


def has_peer_left(stream: trio.SocketStream) -> bool:
    """Return whether the other side has closed or reset a connection.

    Finds it out while bytes that were received before are left unread. Bytes
    that the other side still has to send hide its close.

    Args:
        stream: Stream of a connected TCP socket.
    """
    try:
        state = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return True
    return state[0] in _ENDED_STATES
