"""Ranges shared by several settings."""

from typing import Annotated, Final

import msgspec

KIBIBYTE: Final = 1024
MEBIBYTE: Final = 1_048_576

_MIN_INTERVAL_SECONDS: Final = 0.05
_MAX_INTERVAL_SECONDS: Final = 60
_MIN_LEASE_SECONDS: Final = 0.2
_MAX_LEASE_SECONDS: Final = 300
_MIN_TIMEOUT_SECONDS: Final = 0.1
_MAX_TIMEOUT_SECONDS: Final = 3600
_MAX_CONNECTIONS: Final = 100_000

IntervalSeconds = Annotated[
    float,
    msgspec.Meta(ge=_MIN_INTERVAL_SECONDS, le=_MAX_INTERVAL_SECONDS),
]
LeaseSeconds = Annotated[
    float,
    msgspec.Meta(ge=_MIN_LEASE_SECONDS, le=_MAX_LEASE_SECONDS),
]
TimeoutSeconds = Annotated[
    float,
    msgspec.Meta(ge=_MIN_TIMEOUT_SECONDS, le=_MAX_TIMEOUT_SECONDS),
]
ConnectionCount = Annotated[int, msgspec.Meta(ge=1, le=_MAX_CONNECTIONS)]
MessageSize = Annotated[int, msgspec.Meta(ge=KIBIBYTE, le=MEBIBYTE)]
