"""Settings of leases and grants."""

from dataclasses import dataclass

from carobwalk.settings._ranges import IntervalSeconds, LeaseSeconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Ownership:
    """Durations of heartbeats, leases and grants.

    Args:
        heartbeat_seconds: Interval between lease renewals.
        lease_seconds: Time to live of the leases held by processes.
        grant_seconds: Time to live of a grant of keys to a backend server.
    """

    heartbeat_seconds: IntervalSeconds = 0.1
    lease_seconds: LeaseSeconds = 0.6
    grant_seconds: LeaseSeconds = 0.6
