"""Idempotency keys that contain their time of issue."""

import uuid

import xxhash

_VERSION_BITS = 0x7 << 76
_VARIANT_BITS = 0b10 << 62
_RANDOM_BITS = 62
_TIME_SHIFT = 80
_NANOSECONDS_PER_MILLISECOND = 1_000_000


def make_idempotency_key(mark: str, now: int) -> str:
    """Return a UUID of version 7 (RFC 9562) for a time of issue.

    Args:
        mark: Text unique to the request, hashed into the random part.
        now: Time of issue in nanoseconds since the Unix epoch.
    """
    milliseconds = now // _NANOSECONDS_PER_MILLISECOND
    digest = xxhash.xxh3_64_intdigest(mark.encode())
    tail = digest % (1 << _RANDOM_BITS)
    bits = milliseconds << _TIME_SHIFT | _VERSION_BITS | _VARIANT_BITS | tail
    return str(uuid.UUID(int=bits))
