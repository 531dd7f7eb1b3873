"""Contract of the platform's list of hosts."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from carobwalk.model import Endpoint, ServiceName


@dataclass(frozen=True, slots=True)
class Host:
    """A host as the platform's list shows it, possibly out of date.

    Args:
        endpoint: Name, address and place of the host.
        service: Service of a backend server; ``None`` for a host of entries.
        leaving: Whether the platform has marked the host as leaving.
    """

    endpoint: Endpoint
    service: ServiceName | None
    leaving: bool


@dataclass(frozen=True, slots=True)
class HostListError:
    """The list could not be read."""

    detail: str


class HostList(Protocol):
    """Reader of the platform's list of live and leaving hosts."""

    async def read(self) -> Result[tuple[Host, ...], HostListError]:
        """Return all hosts listed now."""
