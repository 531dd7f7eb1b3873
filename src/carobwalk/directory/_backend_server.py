"""A backend server as it registered itself."""

from dataclasses import dataclass

from carobwalk.model import Address, DataCentreName, ServerId, ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """A life of a backend server.

    Args:
        id: Identity, which a restarted server may keep.
        born: Start of this life, in milliseconds since 1970; with the id it
            tells two lives apart.
        service: Service that it runs.
        address: Where it listens.
        data_centre: Data centre that it is in.
        slots: Requests that it runs at once.
        is_leaving: Whether it wants no new work.
    """

    id: ServerId
    born: int
    service: ServiceName
    address: Address
    data_centre: DataCentreName
    slots: int
    is_leaving: bool

    @property
    def life(self) -> tuple[ServerId, int]:
        """Identity of this life."""
        return (self.id, self.born)
