"""End of a request without a complete answer."""

from dataclasses import dataclass

from carobwalk.model import Failure


@dataclass(frozen=True, slots=True)
class Failed:
    """End of a request without a complete answer."""

    failure: Failure
