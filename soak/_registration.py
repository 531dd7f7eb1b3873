"""Registration of a backend server in the store."""

import json

from standins.platform import KvStore


class Registration:
    """Entry of a server in the store, which may be lost.

    Args:
        name: Name of the server.
        service: Service that it belongs to.
        store: Store that it registers in.
    """

    def __init__(self, name: str, service: str, store: KvStore) -> None:
        self._key = f'servers/{name}'
        self._service = service
        self._store = store
        self._is_lost = False
        self._born = 0
        self._address = ''

    def register(self, born: int, address: str) -> None:
        """Register an incarnation, unless the registration is lost."""
        self._born = born
        self._address = address
        self._write('ready')

    def drain(self) -> None:
        """Register the incarnation as draining."""
        self._write('draining')

    def remove(self) -> None:
        """Remove the entry of an incarnation that leaves."""
        self._store.records.remove(self._key)

    def lose(self) -> None:
        """Remove the registration although the server keeps running."""
        self._is_lost = True
        self.remove()

    def regain(self) -> None:
        """Register again if the registration was lost."""
        if self._is_lost:
            self._is_lost = False
            self._write('ready')

    def _write(self, state: str) -> None:
        if self._is_lost:
            return
        entry = {
            'service': self._service,
            'address': self._address,
            'zone': 'dc1',
            'slots': 4,
            'state': state,
            'born': self._born,
        }
        self._store.records.put(self._key, json.dumps(entry).encode())
