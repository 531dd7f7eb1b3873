"""Network addresses and where they are."""

from dataclasses import dataclass

from carobwalk.model._names import DataCentreName, RegionName


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A process or backend server that can be reached over TCP.

    Args:
        name: Identity of the process or backend server.
        address: Where it listens.
        region: Region that it is in.
        data_centre: Data centre that it is in.
    """

    name: str
    address: Address
    region: RegionName
    data_centre: DataCentreName
