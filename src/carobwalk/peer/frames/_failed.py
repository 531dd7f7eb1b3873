"""End of a request without a complete response."""

from dataclasses import dataclass

from carobwalk.model import Failure


@dataclass(frozen=True, slots=True)
class Failed:
    """End of a request without a complete response.

    Args:
        failure: Cause and outcome.
    """

    failure: Failure
