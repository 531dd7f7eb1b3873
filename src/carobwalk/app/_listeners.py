"""Listening sockets of a process."""

from dataclasses import dataclass
from typing import Final

import trio

from carobwalk.model import Address
from carobwalk.settings import Listen

_BACKLOG: Final = 1024


@dataclass(frozen=True, slots=True)
class Listeners:
    """Open listeners of a process.

    Args:
        callers: Listeners for callers.
        peers: Listeners for other processes.
        administration: Listeners of the administration API.
    """

    callers: list[trio.SocketListener]
    peers: list[trio.SocketListener]
    administration: list[trio.SocketListener]


async def open_listeners(listen: Listen) -> Listeners:
    """Open all listeners of a process.

    Args:
        listen: Addresses from the settings.

    Raises:
        OSError: If an address is in use or does not belong to this host.
    """
    return Listeners(
        callers=await open_listener(listen.callers),
        peers=await open_listener(listen.peers),
        administration=await open_listener(listen.administration),
    )


async def open_listener(address: Address) -> list[trio.SocketListener]:
    """Open the listeners of one address.

    Args:
        address: Host and port to listen on.

    Raises:
        OSError: If the address is in use or does not belong to this host.
    """
    return await trio.open_tcp_listeners(
        address.port,
        host=address.host,
        backlog=_BACKLOG,
    )
