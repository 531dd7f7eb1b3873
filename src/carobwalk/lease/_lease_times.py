"""Timing settings of a lease that holds a role."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTimes:
    """Intervals and timeouts of a lease, all in seconds.

    Args:
        lease: Time to live of the lease in the store.
        lease_margin: Safety margin before the end of the lease, within which
            its holder no longer relies on it.
        keep_alive: Interval between renewals of the lease.
        in_doubt_after: Age of the last renewal from which the lease may expire
            before it is renewed again.
    """

    lease: float = 1.5
    lease_margin: float = 0.1
    keep_alive: float = 0.4
    in_doubt_after: float = 0.8
