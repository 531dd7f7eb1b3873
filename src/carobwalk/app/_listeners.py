"""Sockets that a process listens on."""

from dataclasses import dataclass

import trio

from carobwalk.model import Address
from carobwalk.settings import Listen


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
        callers=await _open(listen.callers),
        peers=await _open(listen.peers),
        administration=await _open(listen.administration),
    )


async def _open(address: Address) -> list[trio.SocketListener]:
    return await trio.open_tcp_listeners(address.port, host=address.host)
