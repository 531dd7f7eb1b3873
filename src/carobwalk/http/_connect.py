"""Opening of TCP connections that notice a silent other side."""

import socket
import struct
from typing import Final

import trio

from carobwalk.model import Address

_KEEPALIVE_IDLE_SECONDS: Final = 1
_KEEPALIVE_INTERVAL_SECONDS: Final = 1
_KEEPALIVE_PROBES: Final = 2
_UNACKNOWLEDGED_MILLISECONDS: Final = 2500
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


async def connect_probed(address: Address) -> trio.SocketStream:
    """Open a connection that breaks soon after the other side fell silent.

    Args:
        address: An IP number and a port; no name is looked up.

    Raises:
        OSError: If the connection can't be opened.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    connection = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        _probe(connection)
        await connection.connect((address.host, address.port))
    except BaseException:
        connection.close()
        raise
    return trio.SocketStream(connection)


def reset_on_close(stream: trio.SocketStream) -> None:
    """Make the close of a stream discard the bytes that are still unsent."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def _probe(connection: trio.socket.SocketType) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    seconds_by_option = {
        socket.TCP_KEEPIDLE: _KEEPALIVE_IDLE_SECONDS,
        socket.TCP_KEEPINTVL: _KEEPALIVE_INTERVAL_SECONDS,
        socket.TCP_KEEPCNT: _KEEPALIVE_PROBES,
        socket.TCP_USER_TIMEOUT: _UNACKNOWLEDGED_MILLISECONDS,
    }
    for option, amount in seconds_by_option.items():
        connection.setsockopt(socket.IPPROTO_TCP, option, amount)
