"""Free ports on the loopback interface."""

import random
import socket
from typing import Final

from carobwalk.model import Address

LOOPBACK = '127.0.0.1'
# Below the ports that the system gives to outgoing connections: one of these
# might take the port of a process while that is restarted.
_PORTS: Final = range(12_000, 32_000)
_chooser = random.SystemRandom()
_given: set[int] = set()


def find_free_addresses(count: int) -> tuple[Address, ...]:
    """Return addresses whose ports were free a moment ago.

    Args:
        count: Number of addresses, all different.
    """
    return tuple(Address(LOOPBACK, _find_port()) for _ in range(count))


def _find_port() -> int:
    while True:
        port = _chooser.choice(_PORTS)
        if port not in _given and _is_free(port):
            _given.add(port)
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as opened:
        try:
            opened.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
