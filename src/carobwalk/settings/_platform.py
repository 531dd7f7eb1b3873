"""Settings of the platform's services."""

from dataclasses import dataclass

from carobwalk.model import Address
from carobwalk.settings._ranges import Interval


@dataclass(frozen=True, slots=True, kw_only=True)
class Platform:
    """Where the platform's services are, and how they are called.

    Args:
        store: Address of the key-value service.
        host_list: Address of the list of hosts.
        timeout_seconds: Longest wait for one answer.
        host_list_interval_seconds: Time between two reads of the host list.
    """

    store: Address
    host_list: Address
    timeout_seconds: Interval = 2.0
    host_list_interval_seconds: Interval = 1.0
