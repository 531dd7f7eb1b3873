"""Processes of a small deployment."""

from pathlib import Path

from carobwalk.model import DataCentreName
from standins.fleet._configure import configure
from standins.fleet._deployment import Deployment
from standins.fleet._entry_process import EntryProcess
from standins.fleet._platform_processes import PlatformProcesses
from standins.fleet._server_processes import ServerProcesses
from standins.fleet._settings_file import write_settings
from standins.processes import Processes, find_free_addresses


class Fleet:
    """Starts the processes of a deployment and looks them up by name.

    Args:
        processes: Starts and stops the processes.
        deployment: Deployment to start.
        directory: Directory for settings, logs and run records.
    """

    def __init__(
        self,
        processes: Processes,
        deployment: Deployment,
        directory: Path,
    ) -> None:
        self.deployment = deployment
        self.platform = PlatformProcesses(processes, deployment.name)
        self.servers = ServerProcesses(processes, deployment, directory)
        self.entries_by_name: dict[str, EntryProcess] = {}
        self._processes = processes
        self._directory = directory

    async def start(self) -> None:
        """Start and configure everything except the entries."""
        await self.platform.start()
        await configure(self.platform.store_client(), self.deployment)
        await self.servers.start()
        for host in self.servers.hosts_by_name.values():
            await self.platform.put_host(host)
        for number, data_centre in enumerate(self.deployment.entries, start=1):
            entry = self._create_entry(number, data_centre)
            self.entries_by_name[entry.name] = entry
            await self.platform.put_host(entry.host)

    async def start_entries(self) -> None:
        """Start all entries."""
        for name in self.entries_by_name:
            await self.start_entry(name)

    async def start_entry(self, name: str) -> None:
        """Start or restart an entry.

        Raises:
            ProcessError: If it does not listen.
        """
        entry = self.entries_by_name[name]
        await self._processes.start(
            name,
            ('carobwalk', 'serve', str(entry.settings_path)),
            entry.callers,
        )

    def _create_entry(
        self, number: int, data_centre: DataCentreName
    ) -> EntryProcess:
        addresses = find_free_addresses(3)
        entry = EntryProcess(
            name=f'{self.deployment.name}-entry-{number}',
            region=self.deployment.regions[data_centre],
            data_centre=data_centre,
            callers=addresses[0],
            peers=addresses[1],
            administration=addresses[2],
            directory=self._directory,
        )
        write_settings(
            entry,
            self.deployment,
            self.platform.store,
            self.platform.host_list,
        )
        return entry
