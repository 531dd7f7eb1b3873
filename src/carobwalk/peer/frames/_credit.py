"""Flow control credit for further body bytes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Credit:
    """Flow control credit for further body bytes.

    Args:
        size: Further body bytes that the receiver accepts.
    """

    size: int
