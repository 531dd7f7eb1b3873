"""Interface of the quarantine of requests."""

from dataclasses import dataclass
from typing import Protocol

from carobwalk.model import OperatorName


@dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A request that is refused because it ended backend servers.

    Args:
        identity: Identity of the request across repeats.
        service: Service that it calls.
        servers: Backend servers that were lost while they ran it.
        expires_in: Seconds until it is let through again.
    """

    identity: str
    service: str
    servers: tuple[str, ...]
    expires_in: float


class RequestQuarantine(Protocol):
    """Quarantine as the administration API uses it."""

    def entries(self) -> tuple[QuarantinedRequest, ...]:
        """Return the quarantined requests known at this process."""

    async def clear(self, identity: str, operator: OperatorName) -> bool:
        """Release a request from quarantine on every entry.

        Args:
            identity: Identity of the request.
            operator: Operator who releases it.

        Returns:
            Whether the request was in quarantine.
        """


class EmptyQuarantine:
    """Quarantine of a process that does not quarantine requests."""

    def entries(self) -> tuple[QuarantinedRequest, ...]:
        """Return no requests."""
        return ()

    async def clear(self, identity: str, operator: OperatorName) -> bool:
        """Return ``False``: nothing is in quarantine."""
        return False
