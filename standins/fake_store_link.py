"""Connection of one process to the store, blocked while it is frozen."""

from result import Result

from carobwalk.store import LeaseId, StoreFailure, Versioned
from standins.fake_network import FakeNetwork
from standins.memory_store import MemoryStoreClient


class FakeStoreLink:
    """Store of a process; calls and replies wait while the process is frozen.

    Args:
        client: Store client of the process.
        network: Network that freezes and thaws processes.
        name: Process id.
    """

    def __init__(
        self,
        client: MemoryStoreClient,
        network: FakeNetwork,
        name: str,
    ) -> None:
        self.client = client
        self._network = network
        self._name = name

    async def read(self, name: str) -> Result[Versioned | None, StoreFailure]:
        """Return the record, ``None`` if it does not exist."""
        await self._network.wait_until_thawed(self._name)
        answer = await self.client.read(name)
        await self._network.wait_until_thawed(self._name)
        return answer

    async def read_prefix(
        self,
        prefix: str,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Return all records whose names start with the prefix, by name."""
        await self._network.wait_until_thawed(self._name)
        answer = await self.client.read_prefix(prefix)
        await self._network.wait_until_thawed(self._name)
        return answer

    async def write(
        self,
        name: str,
        content: bytes,
        expected_revision: int,
        lease: LeaseId | None = None,
    ) -> Result[int, StoreFailure]:
        """Write a record if its revision matches the expected one."""
        await self._network.wait_until_thawed(self._name)
        answer = await self.client.write(
            name,
            content,
            expected_revision,
            lease,
        )
        await self._network.wait_until_thawed(self._name)
        return answer

    async def delete(
        self,
        name: str,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Delete a record if its revision matches the expected one."""
        await self._network.wait_until_thawed(self._name)
        return await self.client.delete(name, expected_revision)

    async def open_lease(self, ttl: float) -> Result[LeaseId, StoreFailure]:
        """Grant a lease with a time to live of ``ttl`` seconds."""
        await self._network.wait_until_thawed(self._name)
        return await self.client.open_lease(ttl)

    async def keep_alive(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease for its full time to live."""
        await self._network.wait_until_thawed(self._name)
        return await self.client.keep_alive(lease)

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        timeout: float,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Wait for records of a prefix that are newer than a revision."""
        await self._network.wait_until_thawed(self._name)
        return await self.client.watch(prefix, after_revision, timeout)
