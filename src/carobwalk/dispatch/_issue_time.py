"""Time at which a caller made an idempotency key."""

import uuid

_VERSION = 7
_TIME_SHIFT = 80
_MILLISECONDS = 1000


def issue_time(idempotency_key: str) -> float | None:
    """Return when a key was made, in seconds since 1970.

    Args:
        idempotency_key: The caller's key.

    Returns:
        The time inside a UUID of version 7; ``None`` for any other key.
    """
    try:
        parsed = uuid.UUID(idempotency_key)
    except ValueError:
        return None
    if parsed.version != _VERSION:
        return None
    return (parsed.int >> _TIME_SHIFT) / _MILLISECONDS


def lead_of(issued_at: float | None, now: float) -> float:
    """Return how far in the future a key was made, in seconds.

    Args:
        issued_at: When the key was made, if the key tells.
        now: Seconds since 1970.
    """
    if issued_at is None:
        return 0
    return max(0, issued_at - now)
