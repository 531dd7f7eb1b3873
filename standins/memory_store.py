"""In-memory stand-in for the platform's key-value service."""

import trio

from standins._call_counts import CallCounts
from standins._memory_store_client import MemoryStoreClient
from standins._store_faults import StoreFaults
from standins._store_state import StoreState

__all__ = ('CallCounts', 'MemoryStore', 'MemoryStoreClient', 'StoreFaults')


class MemoryStore:
    """Store shared by several client processes of a test."""

    def __init__(self) -> None:
        self._state = StoreState()
        self._changed = trio.Event()
        self._clients: list[MemoryStoreClient] = []

    def client(self) -> MemoryStoreClient:
        """Return a new client, as another process would have it."""
        client = MemoryStoreClient(
            self._state,
            self._wake,
            lambda: self._changed,
        )
        self._clients.append(client)
        return client

    def inject(self, faults: StoreFaults) -> None:
        """Inject faults for all clients created so far."""
        for client in self._clients:
            client.inject(faults)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
