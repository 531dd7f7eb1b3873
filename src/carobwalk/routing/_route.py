"""Rule for the requests of a host under a path prefix."""

from dataclasses import dataclass
from enum import StrEnum, unique

from carobwalk.model import RegionName, ServiceName
from carobwalk.routing._destination import Destination


@unique
class RepeatRule(StrEnum):
    """Whether requests of a route may run more than once."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at-most-once'


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Rule for the requests of a host under a path prefix.

    Args:
        name: Name of the route in the configuration.
        host: Host of the request, in lower case and without a port.
        prefix: Start of the path, with a slash at both ends.
        repeat_rule: Whether a request may run more than once.
        is_bulk: Whether the route is for bulk uploads, whose bodies are large.
        rank: Urgency, 0 being the most urgent.
        destinations: Services that share the requests.
        timeout: Longest time to an answer in seconds.
        target_latency: Target for the latency of answers in seconds.
        max_attempts: Most backend servers that one request is sent to.
        allowed_regions: Regions of the backend servers that requests may be
            sent to, ``None`` for all.
    """

    name: str
    host: str
    prefix: str
    repeat_rule: RepeatRule
    is_bulk: bool
    rank: int
    destinations: tuple[Destination, ...]
    timeout: float
    target_latency: float
    max_attempts: int
    allowed_regions: frozenset[RegionName] | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeat_rule is RepeatRule.IDEMPOTENT

    def leads_to(self, service: ServiceName) -> bool:
        """Return whether a service shares the requests of the route."""
        return any(
            destination.service == service for destination in self.destinations
        )


def common_regions(
    first: frozenset[RegionName] | None,
    second: frozenset[RegionName] | None,
) -> frozenset[RegionName] | None:
    """Return the regions that two limits allow; ``None`` allows all."""
    if first is None:
        return second
    return first if second is None else first & second
