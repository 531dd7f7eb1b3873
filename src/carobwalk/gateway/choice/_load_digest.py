"""Encoding of the load of all servers of services without keys.

A row takes six bytes: a hash of the server's incarnation, and the service time
and the requests in flight as logarithms in a byte each.
"""

import math
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from typing import Final

import xxhash

from carobwalk.directory import ServerIncarnation

_VERSION: Final = b'\x01'
_ROW: Final = struct.Struct('>IBB')
_MAX_BYTE: Final = 255
# A step of a service time is 4.6%, which is less than its estimate deviates.
_MIN_SECONDS: Final = 0.001
_MAX_SECONDS: Final = 100.0
_MAX_IN_FLIGHT: Final = 1000.0
_CACHED_HASHES: Final = 4096
_SEPARATOR: Final = '\x00'


@dataclass(frozen=True, slots=True)
class ServerEstimate:
    """What all processes together observed of a server.

    Args:
        seconds: Time that a request takes once it runs, without queueing.
        in_flight: Mean number of requests of all processes at the server.
    """

    seconds: float
    in_flight: float


@lru_cache(maxsize=_CACHED_HASHES)
def incarnation_hash(incarnation: ServerIncarnation) -> int:
    """Return the hash that stands for an incarnation in a digest.

    A server that restarts under the same id has another hash, so that nothing
    known of its former incarnation applies to it.
    """
    identity = f'{incarnation.server}{_SEPARATOR}{incarnation.born}'
    return xxhash.xxh32_intdigest(identity.encode())


def encode_digest(
    estimates: Iterable[tuple[ServerIncarnation, ServerEstimate]],
) -> bytes:
    """Return the digest of estimates by incarnation."""
    return _VERSION + b''.join(
        _ROW.pack(
            incarnation_hash(incarnation),
            _encode_seconds(estimate.seconds),
            _encode_in_flight(estimate.in_flight),
        )
        for incarnation, estimate in estimates
    )


def decode_digest(digest: bytes) -> dict[int, ServerEstimate] | None:
    """Return the estimates of a digest by the hash of the incarnation.

    Returns:
        The estimates, ``None`` if the digest is of another version or has not
        the length of whole rows.
    """
    rows = digest[len(_VERSION) :]
    if not digest.startswith(_VERSION) or len(rows) % _ROW.size:
        return None
    return {
        hashed: ServerEstimate(
            _SECONDS_BY_BYTE[seconds], _IN_FLIGHT_BY_BYTE[in_flight]
        )
        for hashed, seconds, in_flight in _ROW.iter_unpack(rows)
    }


def _encode_seconds(seconds: float) -> int:
    limited = min(max(seconds, _MIN_SECONDS), _MAX_SECONDS)
    share = math.log(limited / _MIN_SECONDS) / math.log(
        _MAX_SECONDS / _MIN_SECONDS
    )
    return round(share * _MAX_BYTE)


def _encode_in_flight(in_flight: float) -> int:
    limited = min(max(in_flight, 0), _MAX_IN_FLIGHT)
    return round(math.log1p(limited) / math.log1p(_MAX_IN_FLIGHT) * _MAX_BYTE)


_SECONDS_BY_BYTE: Final = tuple(
    _MIN_SECONDS * (_MAX_SECONDS / _MIN_SECONDS) ** (byte / _MAX_BYTE)
    for byte in range(_MAX_BYTE + 1)
)
_IN_FLIGHT_BY_BYTE: Final = tuple(
    math.expm1(math.log1p(_MAX_IN_FLIGHT) * byte / _MAX_BYTE)
    for byte in range(_MAX_BYTE + 1)
)
