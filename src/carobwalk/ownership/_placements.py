"""Interface for looking up placements."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from carobwalk.model import Key, Placement, ServiceName


@dataclass(frozen=True, slots=True)
class NoPlacement:
    """No backend server can accept the request at present.

    Args:
        service: Service of the request.
        detail: Cause for the operator.
        retry_after: Seconds after which a retry may succeed, if known.
    """

    service: ServiceName
    detail: str
    retry_after: float | None = None


class Placements(Protocol):
    """Lookup of owners, servers and dispatchers; no method blocks."""

    def locate(
        self,
        service: ServiceName,
        key: Key,
    ) -> Result[Placement, NoPlacement]:
        """Return the owner of a key and its dispatcher."""

    def candidates(
        self,
        service: ServiceName,
    ) -> Result[tuple[Placement, ...], NoPlacement]:
        """Return backend servers for unkeyed work, nearest first."""
