"""A control message had no handler, or its handler failed."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AskFailed:
    """A control message had no handler, or its handler failed.

    Args:
        detail: Cause in plain English.
    """

    detail: str
