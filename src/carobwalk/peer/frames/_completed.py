"""End of a complete answer."""

from dataclasses import dataclass

from carobwalk.model import Completion


@dataclass(frozen=True, slots=True)
class Completed:
    """End of a complete answer."""

    completion: Completion
