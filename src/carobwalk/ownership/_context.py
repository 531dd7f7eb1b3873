"""Dependencies and settings shared by the components of ownership."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from carobwalk.events import EventLog
from carobwalk.model import Clock, Endpoint, RegionName, ServiceName
from carobwalk.ownership._grant_channel import GrantChannel
from carobwalk.ownership._safety_rules import ALL_RULES, SafetyRules
from carobwalk.ownership._times import OwnershipTimes
from carobwalk.peer import Peers, Topics
from carobwalk.profiles import Catalogue
from carobwalk.store import HostList, Store

SHARDS_PER_SERVER: Final = 16
_SEPARATOR: Final = '/'


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipContext:
    """Dependencies and settings of ownership in one process.

    Args:
        own: Endpoint of this process; its name is its process id.
        store: Client of the platform's key-value service.
        host_list: Client of the platform's host list.
        peers: Sends messages to other processes.
        topics: Registry of this process's handlers of peer messages.
        channel: Sends grant, fence and release orders to backend servers.
        clock: Monotonic clock that keeps running while the host is suspended.
        events: Event log.
        catalogue: Returns the profiles and services in force.
        times: Intervals and timeouts.
        shards_per_server: Number of shards per server that is listed when a
            service is divided into shards.
        rules: Safety rules; all in force, except in tests that disable one.
    """

    own: Endpoint
    store: Store
    host_list: HostList
    peers: Peers
    topics: Topics
    channel: GrantChannel
    clock: Clock
    events: EventLog
    catalogue: Callable[[], Catalogue]
    times: OwnershipTimes = field(default_factory=OwnershipTimes)
    shards_per_server: int = SHARDS_PER_SERVER
    rules: SafetyRules = ALL_RULES

    def is_keyed(self, service: ServiceName | None) -> bool:
        """Return whether the keys of a service are owned exclusively."""
        if service is None:
            return False
        profile = self.catalogue().profile_of(service)
        return profile is not None and profile.keyed

    def checks_grants(self, service: ServiceName) -> bool:
        """Return whether the servers of a service check grants."""
        profile = self.catalogue().profile_of(service)
        return profile is None or profile.checks_grants

    def longest_request(self, service: ServiceName) -> float:
        """Return the longest time limit of a service's requests in seconds."""
        profile = self.catalogue().profile_of(service)
        if profile is None:
            return self.times.longest_request
        return max(profile.time_limits.values())

    def drain_seconds_of(self, service: ServiceName) -> float:
        """Return how long requests may outlast a server's grant, in seconds.

        Zero for a server that checks grants, since it drains its requests
        itself. Other servers do not report when requests end, so the longest
        time limit of a request is assumed, with a margin for clock drift.
        """
        if self.checks_grants(service):
            return 0
        return self.times.ttl_with_drift(self.longest_request(service))


def group_of(endpoint: Endpoint) -> str:
    """Return the group of an endpoint's data centre."""
    return f'{endpoint.region}{_SEPARATOR}{endpoint.data_centre}'


def region_of(group: str) -> RegionName:
    """Return the region of a group."""
    return RegionName(group.split(_SEPARATOR)[0])
