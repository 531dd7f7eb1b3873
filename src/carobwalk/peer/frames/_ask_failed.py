"""The question had no handler, or its handler failed."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AskFailed:
    """The question had no handler, or its handler failed."""

    detail: str
