"""Contract of the leases that let a dispatcher send."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from carobwalk.model import FenceToken, Key, ServerId, ServiceName


@dataclass(frozen=True, slots=True)
class NoLease:
    """This process may not send the request to that server now.

    Args:
        detail: Cause in plain English.
    """

    detail: str


class Leases(Protocol):
    """What this process may do as a dispatcher; no method waits."""

    def authorise(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> Result[FenceToken, NoLease]:
        """Return the fence token to send with, read at the moment of sending.

        The dispatcher's own lease must be live, and for a key the owner's
        grant must be live too on this process's clock.
        """

    def held_since(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> float:
        """Return since when no other process can have sent to the server.

        Returns:
            Reading of this process's clock at which the unbroken lease, and
            for a key the current grant, began; the present for none.
        """
