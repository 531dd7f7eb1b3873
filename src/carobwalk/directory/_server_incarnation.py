"""Identity of one incarnation of a backend server."""

from dataclasses import dataclass

from carobwalk.model import ServerId


@dataclass(frozen=True, slots=True, order=True)
class ServerIncarnation:
    """One incarnation of a backend server, from its start to its end.

    Args:
        server: Identity of the server, which a restarted server keeps.
        born: Start of the incarnation, in milliseconds since 1970.
    """

    server: ServerId
    born: int
