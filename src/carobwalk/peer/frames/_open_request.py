"""Head of a request and the placement that the entry chose."""

from dataclasses import dataclass

from carobwalk.model import Placement, RequestHead


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """Head of a request and the placement that the entry chose.

    Args:
        head: Head of the request.
        placement: Backend server and dispatcher of the request.
    """

    head: RequestHead
    placement: Placement
