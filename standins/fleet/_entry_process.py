"""An entry process of a small deployment."""

from dataclasses import dataclass
from pathlib import Path

from carobwalk.model import Address, DataCentreName, Endpoint, RegionName
from carobwalk.store import Host


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryProcess:
    """Location, addresses and files of an entry process.

    Args:
        name: Name of the process.
        region: Its region.
        data_centre: Its data centre.
        callers: Address for requests of callers.
        peers: Address for connections of other processes.
        administration: Address of the administration API.
        directory: Directory of its settings and events.
    """

    name: str
    region: RegionName
    data_centre: DataCentreName
    callers: Address
    peers: Address
    administration: Address
    directory: Path

    @property
    def settings_path(self) -> Path:
        """Path of its settings file."""
        return self.directory / f'{self.name}.json5'

    @property
    def events_path(self) -> Path:
        """Path of its events file."""
        return self.directory / f'{self.name}.events'

    @property
    def host(self) -> Host:
        """The entry's record in the platform's host list."""
        endpoint = Endpoint(
            self.name,
            self.peers,
            self.region,
            self.data_centre,
        )
        return Host(endpoint, service=None, leaving=False)
