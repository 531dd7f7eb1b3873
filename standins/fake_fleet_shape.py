"""Size and settings of a simulated fleet."""

from dataclasses import dataclass, field
from typing import Final

from carobwalk.model import ProfileName
from carobwalk.ownership import OwnershipTimes, SafetyRules
from carobwalk.profiles import Profile

_KEYED: Final = Profile(name=ProfileName('keyed'))


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetShape:
    """Size and settings of a fleet.

    Args:
        data_centres: Data centres of the region.
        entries: Processes in each data centre.
        servers: Backend servers in each data centre.
        shards_per_server: Shards for each server.
        seed: Seed of the network's delays and losses.
        drift: Maximum deviation of a clock's rate from 1.
        times: Times of the ownership protocol.
        rules: Safety rules that are enabled.
        profile: Profile of the service.
        store_timeout: Timeout of calls to the store, in seconds.
    """

    data_centres: int = 2
    entries: int = 2
    servers: int = 2
    shards_per_server: int = 16
    seed: int = 1
    drift: float = 0
    times: OwnershipTimes = field(default_factory=OwnershipTimes)
    rules: SafetyRules = field(default_factory=SafetyRules)
    profile: Profile = _KEYED
    store_timeout: float = 2

    @property
    def shard_count(self) -> int:
        """Number of shards of the service."""
        servers = self.data_centres * self.servers
        return self.shards_per_server * servers
