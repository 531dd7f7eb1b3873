"""Sockets that a process listens on."""

from dataclasses import dataclass
from typing import Final

import trio

from carobwalk.model import Address
from carobwalk.settings import Listen

_BACKLOG: Final = 1024


@dataclass(frozen=True, slots=True)
class Listeners:
    """Open listeners of a process."""

    callers: list[trio.SocketListener]
    peers: list[trio.SocketListener]
    administration: list[trio.SocketListener]


async def open_listeners(listen: Listen) -> Listeners:
    """Open all listeners.

    Raises:
        OSError: If an address is taken or not of this host.
    """
    return Listeners(
        callers=await open_listener(listen.callers),
        peers=await open_listener(listen.peers),
        administration=await open_listener(listen.administration),
    )


async def open_listener(address: Address) -> list[trio.SocketListener]:
    """Open the listener of an address.

    Raises:
        OSError: If the address is taken or not of this host.
    """
    return await trio.open_tcp_listeners(
        address.port,
        host=address.host,
        backlog=_BACKLOG,
    )
