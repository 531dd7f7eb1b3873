"""Settings of a process that routes on the users' platform."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Final

import msgspec

from carobwalk.model import Address
from carobwalk.settings._log import Log
from carobwalk.settings._names import DataCentreField, RegionField
from carobwalk.settings._process import Process

_MOST_COUNT: Final = 10_000_000
_MOST_SECONDS: Final = 3600

_Count = Annotated[int, msgspec.Meta(ge=1, le=_MOST_COUNT)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=_MOST_SECONDS)]
_Speed = Annotated[float, msgspec.Meta(gt=0, le=_MOST_COUNT)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=10)]


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayListen:
    """Addresses that the process listens on.

    Args:
        callers: Takes the callers' requests.
        readiness: Tells the balancer whether to send callers here.
        peers: Takes connections of other processes, which are told it.
        metrics: Takes metric scrapes.
    """

    callers: Address
    readiness: Address
    peers: Address
    metrics: Address


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreAccess:
    """The key-value service.

    Args:
        address: Where it listens.
        shortest_lease_seconds: Shortest time to live of a lease.
    """

    address: Address
    shortest_lease_seconds: _Seconds = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HostLimits:
    """What the host gives the process.

    Args:
        memory_megabytes: Memory beyond which the process is killed.
        descriptors: File descriptors that may be open.
        processor_share: Share of a processor that the process gets.
        processor_speed: How much faster than usual that processor is.
    """

    memory_megabytes: _Count
    descriptors: _Count
    processor_share: _Speed = 1.0
    processor_speed: _Speed = 1.0

    @property
    def speed(self) -> float:
        """Work that the process gets done, 1 being a whole usual processor."""
        return self.processor_share * self.processor_speed


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """What callers and backend servers were promised.

    Args:
        leaving_seconds: Time after which a leaving backend server gets no
            work any more.
        stop_seconds: Time from the signal to stop to the end by force.
        repeat_ratio: Repeats that a service allows for each request.
        repeat_slack: Repeats that a service allows besides in a window.
        repeat_window_seconds: Length of a window.
        longest_hold_seconds: Longest time of a grant of keys.
    """

    leaving_seconds: _Seconds = 2.0
    stop_seconds: _Seconds = 6.0
    repeat_ratio: _Share = 0.2
    repeat_slack: _Seconds = 64.0
    repeat_window_seconds: _Seconds = 10.0
    longest_hold_seconds: _Seconds = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Validated settings of one process on the users' platform.

    Args:
        process: Identity and place.
        regions_by_data_centre: Region of each data centre.
        listen: Addresses that the process listens on.
        store: The key-value service.
        host: What the host gives the process.
        bounds: What callers and backend servers were promised.
        log: Where events are written.
    """

    process: Process
    regions_by_data_centre: Mapping[DataCentreField, RegionField]
    listen: GatewayListen
    store: StoreAccess
    host: HostLimits
    bounds: Bounds = field(default_factory=Bounds)
    log: Log = field(default_factory=Log)
