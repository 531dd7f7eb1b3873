"""Settings of leases and of the groups that this process can coordinate."""

from dataclasses import dataclass

from carobwalk.settings._names import DataCentreField
from carobwalk.settings._ranges import Interval, Lease, ShardCount


@dataclass(frozen=True, slots=True, kw_only=True)
class Ownership:
    """Times of leases and grants.

    Args:
        groups: Data centres whose servers this process may coordinate; empty
            for all of its region.
        heartbeat_seconds: Time between two renewals.
        lease_seconds: Time to live of the leases of processes.
        grant_seconds: Time to live of the grants of backend servers.
        shards_per_server: Shards for each backend server of a new service.
    """

    groups: tuple[DataCentreField, ...] = ()
    heartbeat_seconds: Interval = 0.1
    lease_seconds: Lease = 0.6
    grant_seconds: Lease = 0.6
    shards_per_server: ShardCount = 16
