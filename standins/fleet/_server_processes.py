"""Backend servers of a small deployment."""

from pathlib import Path

from carobwalk.model import Address, Endpoint
from carobwalk.store import Host
from standins.backend import RunRecord, read_run_log
from standins.fleet._deployment import Deployment
from standins.fleet._fleet_service import FleetService
from standins.processes import Processes, find_free_addresses


class ServerProcesses:
    """Starts the stand-in backend servers and reads their run records.

    Args:
        processes: Starts and stops the processes.
        deployment: Deployment whose servers are started.
        directory: Directory for their run records.
    """

    def __init__(
        self,
        processes: Processes,
        deployment: Deployment,
        directory: Path,
    ) -> None:
        self.hosts_by_name: dict[str, Host] = {}
        self._processes = processes
        self._deployment = deployment
        self._directory = directory

    async def start(self) -> None:
        """Start all backend servers."""
        for service in self._deployment.services:
            self._create_hosts(service)
        for name in self.hosts_by_name:
            await self.start_server(name)

    async def start_server(self, name: str) -> None:
        """Start or restart a backend server."""
        host = self.hosts_by_name[name]
        address = host.endpoint.address
        arguments = (
            *self._deployment.server_module,
            f'--id={name}',
            f'--service={host.service}',
            f'--listen={address}',
            f'--log-path={self._log_path(name)}',
            self._grant_option(host),
            *self._deployment.server_options,
        )
        await self._processes.start(name, arguments, address)

    def address(self, name: str) -> Address:
        """Return the address of a backend server."""
        return self.hosts_by_name[name].endpoint.address

    def records(self) -> tuple[RunRecord, ...]:
        """Return the run records of all backend servers, even killed ones."""
        paths = [self._log_path(name) for name in self.hosts_by_name]
        return tuple(
            record
            for path in paths
            if path.exists()
            for record in read_run_log(path)
        )

    def _grant_option(self, host: Host) -> str:
        is_keyed = any(
            service.name == host.service and service.keyed
            for service in self._deployment.services
        )
        return '--checks-grants' if is_keyed else '--ignores-grants'

    def _log_path(self, name: str) -> Path:
        return self._directory / f'{name}.runs'

    def _create_hosts(self, service: FleetService) -> None:
        addresses = find_free_addresses(len(service.data_centres))
        locations = zip(service.data_centres, addresses, strict=True)
        for number, (data_centre, address) in enumerate(locations, start=1):
            name = f'{service.name}-{number}'
            region = self._deployment.regions[data_centre]
            endpoint = Endpoint(name, address, region, data_centre)
            self.hosts_by_name[name] = Host(endpoint, service.name, False)
