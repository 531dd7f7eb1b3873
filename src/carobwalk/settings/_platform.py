"""Settings of the platform's services."""

from dataclasses import dataclass

from carobwalk.model import Address
from carobwalk.settings._ranges import IntervalSeconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Platform:
    """Addresses and timeouts of the platform's services.

    Args:
        store: Address of the key-value service.
        host_list: Address of the service that lists the hosts.
        timeout_seconds: Timeout of one call to either service.
        host_list_interval_seconds: Interval at which the host list is polled.
    """

    store: Address
    host_list: Address
    timeout_seconds: IntervalSeconds = 2.0
    host_list_interval_seconds: IntervalSeconds = 1.0
