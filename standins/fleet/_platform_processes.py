"""Store and host list of a small deployment."""

import msgspec

from carobwalk.http import HttpClient, HttpRequest
from carobwalk.model import Address
from carobwalk.store import Host, HttpStore
from standins.processes import Processes, find_free_addresses

_CONTROL_TIMEOUT_SECONDS = 5


class PlatformProcesses:
    """Starts and controls the stand-ins for the platform.

    Args:
        processes: Starts and stops the processes.
        name: Prefix of the names of the processes.
    """

    def __init__(self, processes: Processes, name: str) -> None:
        self.store_name = f'{name}-store'
        self.host_list_name = f'{name}-host-list'
        addresses = find_free_addresses(2)
        self.store = addresses[0]
        self.host_list = addresses[1]
        self._processes = processes
        self._http = HttpClient()

    def store_client(self) -> HttpStore:
        """Return a client of the store."""
        return HttpStore(self._http, self.store)

    async def start(self) -> None:
        """Start the store and the host list, both empty."""
        await self._processes.start(
            self.store_name,
            ('standins', 'store', '--listen', str(self.store)),
            self.store,
        )
        await self._processes.start(
            self.host_list_name,
            ('standins', 'host-list', '--listen', str(self.host_list)),
            self.host_list,
        )

    async def put_host(self, host: Host) -> None:
        """Add a host to the host list, or replace it."""
        body = msgspec.json.encode(host)
        await self.control(self.host_list, 'PUT', 'hosts', body)

    async def control(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> bytes:
        """Send a control request to a stand-in and return the response body."""
        request = HttpRequest(method, f'/_control/{path}', body=body)
        sent = await self._http.send(address, request, _CONTROL_TIMEOUT_SECONDS)
        return sent.unwrap().body
