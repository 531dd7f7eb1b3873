"""What the parts of ownership are built from."""

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
    """Surroundings of the ownership role of a process.

    Args:
        own: Endpoint of this process; its name is its process id.
        store: The platform's key-value service.
        host_list: The platform's list of hosts.
        peers: Sends messages to other processes.
        topics: Registry for the handlers of this process.
        channel: Sends orders to backend servers.
        clock: Clock of this process, which runs on while it is suspended.
        events: Log of events.
        catalogue: Returns the configuration in force.
        times: Time limits.
        shards_per_server: Shards for each server listed when a service is
            divided.
        rules: Safety rules; all in force but in tests of the checker.
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
        """Return whether the keys of a service have owners."""
        if service is None:
            return False
        profile = self.catalogue().profile_of(service)
        return profile is not None and profile.keyed

    def checks_grants(self, service: ServiceName) -> bool:
        """Return whether the servers of a service check grants."""
        profile = self.catalogue().profile_of(service)
        return profile is None or profile.checks_grants

    def longest_request(self, service: ServiceName) -> float:
        """Return the longest time in seconds that a request may run."""
        profile = self.catalogue().profile_of(service)
        if profile is None:
            return self.times.longest_request
        return max(profile.time_limits.values())

    def hold_of(self, service: ServiceName) -> float:
        """Return how long requests may run on after a server's grants.

        A server that checks grants waits for its own requests; of another
        one nobody knows more than the longest time of a request.
        """
        if self.checks_grants(service):
            return 0
        return self.times.lapse(self.longest_request(service))


def group_of(endpoint: Endpoint) -> str:
    """Return the group whose home is the data centre of an endpoint."""
    return f'{endpoint.region}{_SEPARATOR}{endpoint.data_centre}'


def region_of(group: str) -> RegionName:
    """Return the region of a group."""
    return RegionName(group.split(_SEPARATOR)[0])
