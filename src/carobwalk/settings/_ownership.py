"""Settings of leases and grants."""

from dataclasses import dataclass

from carobwalk.settings._ranges import Interval, Lease


@dataclass(frozen=True, slots=True, kw_only=True)
class Ownership:
    """Times of leases and grants.

    Args:
        heartbeat_seconds: Time between two renewals.
        lease_seconds: Time to live of the leases of processes.
        grant_seconds: Time to live of the grants of backend servers.
    """

    heartbeat_seconds: Interval = 0.1
    lease_seconds: Lease = 0.6
    grant_seconds: Lease = 0.6
