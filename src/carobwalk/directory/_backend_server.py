"""Registration of a backend server."""

from dataclasses import dataclass, field

from carobwalk.directory._server_incarnation import ServerIncarnation
from carobwalk.model import Address, DataCentreName, ServerId, ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """Registered incarnation of a backend server.

    Args:
        id: Id of the server, which may stay the same over restarts.
        born: Start of this incarnation, in milliseconds since 1970; tells
            apart restarts that keep the id.
        service: Service that the server runs.
        address: Address that the server listens at.
        data_centre: Data centre that the server is in.
        slots: Requests that the server runs concurrently.
        is_leaving: Whether the server is shutting down and accepts no new
            work.
        warmup_left: Seconds from the arrival of the entry for which the server
            is slow, ``None`` if the entry doesn't tell. It changes with every
            rewrite of the entry, so it isn't compared; ``ColdServers`` tells
            until when a server is cold.
        incarnation: Identity of this incarnation, from ``id`` and ``born``.
    """

    id: ServerId
    born: int
    service: ServiceName
    address: Address
    data_centre: DataCentreName
    slots: int
    is_leaving: bool
    warmup_left: float | None = field(default=0, compare=False)
    # Created once, since choosing a server looks up its load for each request.
    incarnation: ServerIncarnation = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        """Set the incarnation."""
        incarnation = ServerIncarnation(self.id, self.born)
        object.__setattr__(self, 'incarnation', incarnation)
