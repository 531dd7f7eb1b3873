"""Timestamps of idempotency keys."""

import uuid

_VERSION = 7
_TIME_SHIFT = 80
_MILLISECONDS = 1000


def issue_time(idempotency_key: str) -> float | None:
    """Return when a key was generated, in seconds since 1970.

    Args:
        idempotency_key: The caller's key.

    Returns:
        The timestamp of a version 7 UUID; ``None`` for any other key.
    """
    try:
        parsed = uuid.UUID(idempotency_key)
    except ValueError:
        return None
    if parsed.version != _VERSION:
        return None
    return (parsed.int >> _TIME_SHIFT) / _MILLISECONDS


def clock_lead(issued_at: float | None, now: float) -> float:
    """Return how far the timestamp of a key is in the future, in seconds.

    Args:
        issued_at: Timestamp of the key in seconds since 1970; ``None`` if it
            has none, which counts as not in the future.
        now: Current time in seconds since 1970.
    """
    if issued_at is None:
        return 0
    return max(0, issued_at - now)
