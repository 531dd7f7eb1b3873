"""Contract of the shard map as entries read it."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from carobwalk.model import Key, Placement, ServiceName


@dataclass(frozen=True, slots=True)
class NoPlacement:
    """No backend server can take the request now.

    Args:
        service: Service that was asked for.
        detail: Cause in plain English.
        retry_after: Seconds after which one is expected, if known.
    """

    service: ServiceName
    detail: str
    retry_after: float | None = None


class Placements(Protocol):
    """Read side of the shard map; no method waits."""

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
