"""Free ports on the loopback interface."""

import socket
from contextlib import ExitStack

from carobwalk.model import Address

LOOPBACK = '127.0.0.1'


def find_free_addresses(count: int) -> tuple[Address, ...]:
    """Return addresses whose ports were free a moment ago.

    Args:
        count: Number of addresses, all different.
    """
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        return tuple(_bind(opened) for opened in sockets)


def _bind(opened: socket.socket) -> Address:
    opened.bind((LOOPBACK, 0))
    return Address(LOOPBACK, opened.getsockname()[1])
