"""One of the services that share a route's requests."""

from dataclasses import dataclass

from carobwalk.model import ServiceName


@dataclass(frozen=True, slots=True)
class Destination:
    """A service and its share.

    Args:
        service: Service that runs the requests.
        weight: Share of the requests in proportion to the other weights.
    """

    service: ServiceName
    weight: float = 1.0
