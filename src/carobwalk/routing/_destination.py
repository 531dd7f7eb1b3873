"""Service that receives a share of a route's requests."""

from dataclasses import dataclass

from carobwalk.model import ServiceName


@dataclass(frozen=True, slots=True)
class Destination:
    """Service and the weight of its share of a route's requests.

    Args:
        service: Service that runs the requests.
        weight: Share of the requests in proportion to the other weights.
    """

    service: ServiceName
    weight: float = 1.0
