"""Timing settings of key ownership."""

from dataclasses import dataclass
from typing import Final

from carobwalk.lease import LeaseTimes

# Slowest rate of a server's clock: it may count 98 seconds while 100 pass.
SLOWEST_CLOCK_RATE: Final = 0.98


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyTimes(LeaseTimes):
    """Intervals and timeouts of key ownership, all in seconds.

    While the coordinator's lease is in doubt, grants are sent with the longest
    duration, so that owners outlive an outage of the store.

    Args:
        hold: Usual duration of a grant.
        longest_hold: Longest duration of a grant.
        renewal: Interval between renewals of a grant.
        retry: Delay before an order that was not answered is sent again.
        order_timeout: Timeout for the answer to a grant.
        release_timeout: Timeout for the answer to a release.
        arrival_slack: How long after its sender's timeout an order may still
            arrive.
        detection_timeout: Time without an answer after which an owner is
            declared lost.
        tick: Interval between planning rounds.
    """

    hold: float = 2.5
    longest_hold: float = 10.0
    renewal: float = 0.7
    retry: float = 0.15
    order_timeout: float = 0.4
    release_timeout: float = 1.5
    arrival_slack: float = 0.4
    detection_timeout: float = 0.9
    tick: float = 0.1

    @property
    def longest_delay(self) -> float:
        """Longest time between the sending of a grant and its arrival."""
        return self.order_timeout + self.arrival_slack

    def longest_validity(self, hold: float) -> float:
        """Return how long a grant may be in force, counted from its arrival.

        Args:
            hold: Duration of the grant in seconds, on the server's clock.
        """
        return hold / SLOWEST_CLOCK_RATE

    @property
    def longest_usual_hold(self) -> float:
        """Longest time from a usual grant's answer until it has expired."""
        return self.longest_delay + self.longest_validity(self.hold)

    @property
    def inherited(self) -> float:
        """Longest time that an earlier coordinator's grants may be in force."""
        return self.longest_delay + self.longest_validity(self.longest_hold)
