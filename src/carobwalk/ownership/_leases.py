"""Interface of the leases that allow a dispatcher to send."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from carobwalk.model import FenceToken, Key, ServerId, ServiceName


@dataclass(frozen=True, slots=True)
class NoLease:
    """This process may not send the request to that server now.

    Args:
        detail: Cause for the operator.
    """

    detail: str


class Leases(Protocol):
    """Authorisation of this process to send; no method blocks."""

    def authorise(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> Result[FenceToken, NoLease]:
        """Return the fencing token for a request; call it right before sending.

        The dispatcher's own lease must be live, and for a key the owner's
        grant must be live too, on this process's clock.
        """

    def held_since(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> float:
        """Return the time since which only this process could send.

        Returns:
            Time on this process's clock at which the uninterrupted lease,
            and for a key the current grant, began; the current time without
            a lease.
        """
