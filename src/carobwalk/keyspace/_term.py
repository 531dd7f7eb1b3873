"""Time during which a process coordinates."""

from carobwalk.keyspace._times import KeyTimes
from carobwalk.model import Clock
from carobwalk.store import LeaseId


class Term:
    """Time during which a process coordinates, bounded by a lease.

    Args:
        lease: Lease that holds the role.
        renewed: Time just before the lease was opened.
        times: Times of leases.
        clock: Clock that runs on while the host is suspended.
    """

    def __init__(
        self,
        lease: LeaseId,
        renewed: float,
        times: KeyTimes,
        clock: Clock,
    ) -> None:
        self.lease = lease
        self._renewed = renewed
        self._times = times
        self._clock = clock
        self._is_over = False

    def renew(self, sent: float) -> None:
        """Take in that a renewal was answered.

        Args:
            sent: Time just before it was sent.
        """
        self._renewed = max(self._renewed, sent)

    def end(self) -> None:
        """End the term for good."""
        self._is_over = True

    @property
    def left(self) -> float:
        """Seconds until the lease may have lapsed."""
        end = self._renewed + self._times.lease - self._times.lease_margin
        return end - self._clock.now()

    @property
    def is_valid(self) -> bool:
        """Whether orders may be sent now."""
        return not self._is_over and self.left > 0

    @property
    def is_over(self) -> bool:
        """Whether the term ended for good."""
        return self._is_over

    @property
    def is_in_doubt(self) -> bool:
        """Whether the lease may lapse before it can be renewed."""
        return self._clock.now() - self._renewed > self._times.doubt
