"""Ranges that several settings share."""

from typing import Annotated, Final

import msgspec

KIBIBYTE: Final = 1024
MEBIBYTE: Final = 1_048_576

_SHORTEST_INTERVAL: Final = 0.05
_LONGEST_INTERVAL: Final = 60
_SHORTEST_LEASE: Final = 0.2
_LONGEST_LEASE: Final = 300
_SHORTEST_WAIT: Final = 0.1
_LONGEST_WAIT: Final = 3600
_MOST_CONNECTIONS: Final = 100_000

Interval = Annotated[
    float,
    msgspec.Meta(ge=_SHORTEST_INTERVAL, le=_LONGEST_INTERVAL),
]
Lease = Annotated[float, msgspec.Meta(ge=_SHORTEST_LEASE, le=_LONGEST_LEASE)]
Wait = Annotated[float, msgspec.Meta(ge=_SHORTEST_WAIT, le=_LONGEST_WAIT)]
Connections = Annotated[int, msgspec.Meta(ge=1, le=_MOST_CONNECTIONS)]
MessageSize = Annotated[int, msgspec.Meta(ge=KIBIBYTE, le=MEBIBYTE)]
