"""End of a complete response."""

from dataclasses import dataclass

from carobwalk.model import Completion


@dataclass(frozen=True, slots=True)
class Completed:
    """End of a complete response.

    Args:
        completion: Status, server and sizes of the exchange.
    """

    completion: Completion
