"""Settings of a process that routes on the users' platform."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Final

import msgspec

from carobwalk.model import Address
from carobwalk.settings._log import Log
from carobwalk.settings._names import DataCentreField, RegionField
from carobwalk.settings._process import Process

_MAX_COUNT: Final = 10_000_000
_MAX_SECONDS: Final = 3600

_Count = Annotated[int, msgspec.Meta(ge=1, le=_MAX_COUNT)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_SECONDS)]
_PositiveFactor = Annotated[float, msgspec.Meta(gt=0, le=_MAX_COUNT)]
_Ratio = Annotated[float, msgspec.Meta(ge=0, le=10)]


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayListen:
    """Addresses that the process listens on.

    Args:
        callers: Accepts requests of callers.
        readiness: Serves readiness probes of the load balancer.
        peers: Accepts connections of other router processes; this address is
            announced to them.
        metrics: Serves metric scrapes.
    """

    callers: Address
    readiness: Address
    peers: Address
    metrics: Address


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreAccess:
    """Access to the key-value service.

    Args:
        address: Address that the service listens on.
        shortest_lease_seconds: Shortest time to live that the service grants
            to a lease.
    """

    address: Address
    shortest_lease_seconds: _Seconds = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HostLimits:
    """Resources that the host allots to the process.

    Args:
        memory_megabytes: Memory limit; the process is killed when it exceeds
            it.
        descriptors: Limit on open file descriptors.
        processor_share: Number of processors allotted to the process; may be
            a fraction.
        processor_speed: Speed of a processor relative to a standard one.
        link_megabits: Bandwidth of the host's link, in megabits a second.
    """

    memory_megabytes: _Count
    descriptors: _Count
    processor_share: _PositiveFactor = 1.0
    processor_speed: _PositiveFactor = 1.0
    link_megabits: _PositiveFactor = 1000.0

    @property
    def speed(self) -> float:
        """Processing capacity of the process, in standard processors."""
        return self.processor_share * self.processor_speed


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Time limits and retry budgets guaranteed by the router.

    Args:
        leaving_seconds: Time after the announcement of a backend server's
            departure from which no more requests are sent to it.
        configuration_seconds: Time after which a change of the configuration
            is in force.
        stop_seconds: Time from the termination signal to the forced exit.
        repeat_ratio: Retry budget of a service, as the ratio of retries to
            requests.
        repeat_slack: Retries per window that a service allows in addition to
            the ratio.
        repeat_window_seconds: Length of the window over which retries are
            counted.
        longest_hold_seconds: Longest duration of a grant of keys.
        evacuation_seconds: Time after the request for the evacuation of a
            data centre from which no request arrives there.
        warmup_overshoot: Requests that a cold backend server may get in any
            one second, as a multiple of the requests per second that the
            configuration states for it.
        warmup_slack: Requests that it may get in addition.
    """

    leaving_seconds: _Seconds = 2.0
    configuration_seconds: _Seconds = 2.0
    stop_seconds: _Seconds = 6.0
    repeat_ratio: _Ratio = 0.2
    repeat_slack: _Seconds = 64.0
    repeat_window_seconds: _Seconds = 10.0
    longest_hold_seconds: _Seconds = 10.0
    evacuation_seconds: _Seconds = 5.0
    warmup_overshoot: _Ratio = 1.5
    warmup_slack: _Seconds = 8.0

    @property
    def news_seconds(self) -> float:
        """Time within which every process has to act on a change."""
        return min(
            self.leaving_seconds,
            self.configuration_seconds,
            self.evacuation_seconds,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """How backend servers are chosen.

    Args:
        shared_load: Whether the processes report the load of all servers and
            choose by what all of them observe; otherwise each process chooses
            by what it observes itself.
    """

    shared_load: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Validated settings of one process on the users' platform.

    Args:
        process: Identity and location of the process.
        regions_by_data_centre: Region of each data centre.
        listen: Addresses that the process listens on.
        store: The key-value service.
        host: Resources that the host allots to the process.
        bounds: Time limits and retry budgets guaranteed by the router.
        log: Destination and threshold of the event log.
        choice: How backend servers are chosen.
    """

    process: Process
    regions_by_data_centre: Mapping[DataCentreField, RegionField]
    listen: GatewayListen
    store: StoreAccess
    host: HostLimits
    bounds: Bounds = field(default_factory=Bounds)
    log: Log = field(default_factory=Log)
    choice: Choice = field(default_factory=Choice)
