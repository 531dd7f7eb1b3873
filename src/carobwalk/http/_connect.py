"""TCP connections that detect an unresponsive peer."""

import socket
import struct
from typing import Final

import trio

from carobwalk.model import Address

_KEEPALIVE_IDLE_SECONDS: Final = 1
_KEEPALIVE_INTERVAL_SECONDS: Final = 1
_KEEPALIVE_PROBES: Final = 2
_USER_TIMEOUT_MILLISECONDS: Final = 2500
# ``struct linger``: enabled, with a timeout of zero seconds.
_LINGER_ZERO: Final = struct.pack('ii', 1, 0)


async def connect_with_keepalive(address: Address) -> trio.SocketStream:
    """Open a connection that fails within seconds of losing its peer.

    TCP keep-alive probes detect the loss of an idle peer, the TCP user
    timeout that of a peer which stops acknowledging data.

    Args:
        address: IP address and port; host names are not resolved.

    Raises:
        OSError: If the connection cannot be opened.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    connection = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        _enable_keepalive(connection)
        await connection.connect((address.host, address.port))
    except BaseException:
        connection.close()
        raise
    return trio.SocketStream(connection)


def reset_on_close(stream: trio.SocketStream) -> None:
    """Make closing the stream reset the connection and drop unsent bytes."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


def _enable_keepalive(connection: trio.socket.SocketType) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    value_by_option = {
        socket.TCP_KEEPIDLE: _KEEPALIVE_IDLE_SECONDS,
        socket.TCP_KEEPINTVL: _KEEPALIVE_INTERVAL_SECONDS,
        socket.TCP_KEEPCNT: _KEEPALIVE_PROBES,
        socket.TCP_USER_TIMEOUT: _USER_TIMEOUT_MILLISECONDS,
    }
    for option, value in value_by_option.items():
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
