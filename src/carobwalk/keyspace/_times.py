"""Times of the ownership of numbered keys."""

from dataclasses import dataclass
from typing import Final

# A server's clock may count 98 seconds while 100 pass.
SLOWEST_CLOCK: Final = 0.98


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyTimes:
    """Times in seconds.

    Args:
        lease: Time to live of the coordinator's lease in the store.
        lease_margin: How long before its end a lease is not relied on.
        keep_alive: Pause between renewals of the lease.
        doubt: Age of the last renewal of the lease from which on grants get
            the longest time, so that owners outlive an outage of the store.
        hold: Time of a grant.
        longest_hold: Longest time of a grant.
        renewal: Pause between renewals of a grant.
        retry: Pause after an order that was not answered.
        order_timeout: Longest wait for the answer to a grant.
        release_timeout: Longest wait for the answer to a release.
        arrival_slack: How much later than the end of its sender's wait an
            order may still arrive.
        silence: Time without a sign of life after which an owner is lost.
        tick: Pause between two looks at the whole map.
    """

    lease: float = 1.5
    lease_margin: float = 0.1
    keep_alive: float = 0.4
    doubt: float = 0.8
    hold: float = 2.5
    longest_hold: float = 10.0
    renewal: float = 0.7
    retry: float = 0.15
    order_timeout: float = 0.4
    release_timeout: float = 1.5
    arrival_slack: float = 0.4
    silence: float = 0.9
    tick: float = 0.1

    def latest_end(self, hold: float) -> float:
        """Return how long a grant may hold, counted from its arrival."""
        return hold / SLOWEST_CLOCK

    @property
    def inherited(self) -> float:
        """How long grants of a coordinator whose lease lapsed may hold."""
        arrival = self.order_timeout + self.arrival_slack
        return arrival + self.latest_end(self.longest_hold)
