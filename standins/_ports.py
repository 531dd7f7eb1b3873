"""Free ports on the loopback interface."""

import random
import socket
from typing import Final

from carobwalk.model import Address

LOOPBACK = '127.0.0.1'
# Below the ephemeral port range: an outgoing connection could otherwise take
# the port of a process while it restarts.
_PORT_RANGE: Final = range(12_000, 32_000)
_random = random.SystemRandom()
_assigned_ports: set[int] = set()


def find_free_addresses(count: int) -> tuple[Address, ...]:
    """Return addresses whose ports were free when they were probed.

    Args:
        count: Number of addresses; none is returned twice by this process.
    """
    return tuple(Address(LOOPBACK, _find_port()) for _ in range(count))


def _find_port() -> int:
    while True:
        port = _random.choice(_PORT_RANGE)
        if port not in _assigned_ports and _is_free(port):
            _assigned_ports.add(port)
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
