"""An entry process of a miniature deployment."""

from dataclasses import dataclass
from pathlib import Path

from carobwalk.model import Address, DataCentreName, Endpoint, RegionName
from carobwalk.store import Host


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryProcess:
    """Where an entry process is and listens.

    Args:
        name: Name of the process.
        region: Its region.
        data_centre: Its data centre.
        callers: Takes callers' requests.
        peers: Takes connections of other processes.
        administration: Takes operators' commands.
        directory: Directory of its settings and its log.
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
        """File of its settings."""
        return self.directory / f'{self.name}.json5'

    @property
    def events_path(self) -> Path:
        """File of its events."""
        return self.directory / f'{self.name}.events'

    @property
    def host(self) -> Host:
        """The entry as the platform lists it."""
        endpoint = Endpoint(
            self.name,
            self.peers,
            self.region,
            self.data_centre,
        )
        return Host(endpoint, service=None, leaving=False)
