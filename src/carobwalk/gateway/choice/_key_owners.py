"""Interface of the map from keys to the backend servers that own them."""

from dataclasses import dataclass
from typing import Protocol

from carobwalk.directory import BackendServer
from carobwalk.model import ServiceName


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """Owner of a key.

    Args:
        server: Backend server that owns the key.
        is_granted: Whether the server is known to hold its grant of the key.
        fence: Fencing token of the grant.
    """

    server: BackendServer
    is_granted: bool
    fence: int


class KeyOwners(Protocol):
    """Map from keys to the backend servers that own them."""

    def find(self, service: ServiceName, key: int) -> KeyOwner | None:
        """Return the owner of a key, ``None`` while the key has none."""

    def count(self, service: ServiceName, key: int) -> None:
        """Count a request for a key."""

    async def wait_for_change(self, service: ServiceName) -> None:
        """Wait until the owner of any key of a service has changed."""
