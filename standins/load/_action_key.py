"""Idempotency keys that tell when they were made."""

import uuid

import xxhash

_VERSION_BITS = 0x7 << 76
_VARIANT_BITS = 0b10 << 62
_RANDOM_BITS = 62
_TIME_SHIFT = 80
_NANOSECONDS = 1_000_000


def make_action_key(mark: str, now: int) -> str:
    """Return a UUID of version 7 (RFC 9562) made at a time.

    Args:
        mark: Name of the request, which the random part is made from.
        now: Nanoseconds since 1970.
    """
    milliseconds = now // _NANOSECONDS
    digest = xxhash.xxh3_64_intdigest(mark.encode())
    tail = digest % (1 << _RANDOM_BITS)
    bits = milliseconds << _TIME_SHIFT | _VERSION_BITS | _VARIANT_BITS | tail
    return str(uuid.UUID(int=bits))
