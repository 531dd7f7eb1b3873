"""Interface of the platform's host list."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from carobwalk.model import Endpoint, ServiceName


@dataclass(frozen=True, slots=True)
class Host:
    """An entry of the platform's host list, which may be out of date.

    Args:
        endpoint: Name, address, region and data centre of the host.
        service: Service of a backend server; ``None`` for a host that
            runs router processes.
        leaving: Whether the platform has marked the host as leaving.
    """

    endpoint: Endpoint
    service: ServiceName | None
    leaving: bool


@dataclass(frozen=True, slots=True)
class HostListError:
    """The host list could not be read.

    Args:
        detail: Cause of the failure.
    """

    detail: str


class HostList(Protocol):
    """Provides the live and leaving hosts of the platform."""

    async def read(self) -> Result[tuple[Host, ...], HostListError]:
        """Return all hosts that are currently listed."""
