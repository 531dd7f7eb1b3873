"""Network addresses and the locations of their hosts."""

from dataclasses import dataclass

from carobwalk.model._names import DataCentreName, RegionName


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A process or backend server that can be reached over TCP.

    Args:
        name: Identifier of the process or backend server.
        address: Address that it listens on.
        region: Region that it runs in.
        data_centre: Data centre that it runs in.
    """

    name: str
    address: Address
    region: RegionName
    data_centre: DataCentreName
