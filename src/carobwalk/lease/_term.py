"""Term of a process in a role that a lease holds."""

from carobwalk.lease._lease_times import LeaseTimes
from carobwalk.model import Clock
from carobwalk.store import LeaseId


class Term:
    """Period during which a process has a role, bounded by a lease.

    Args:
        lease: Lease that the role is bound to.
        renewed_at: Time just before the lease was requested.
        times: Timing settings of leases.
        clock: Clock that keeps running while the host is suspended.
    """

    def __init__(
        self,
        lease: LeaseId,
        renewed_at: float,
        times: LeaseTimes,
        clock: Clock,
    ) -> None:
        self.lease = lease
        self._renewed_at = renewed_at
        self._times = times
        self._clock = clock
        self._is_over = False

    def renew(self, sent_at: float) -> None:
        """Extend the term after a successful renewal.

        Args:
            sent_at: Time just before the renewal was sent.
        """
        self._renewed_at = max(self._renewed_at, sent_at)

    def end(self) -> None:
        """End the term permanently."""
        self._is_over = True

    @property
    def seconds_left(self) -> float:
        """Seconds until the lease may have expired; negative afterwards."""
        end = self._renewed_at + self._times.lease - self._times.lease_margin
        return end - self._clock.now()

    @property
    def renewal_age(self) -> float:
        """Seconds since the last renewal that was answered was sent."""
        return self._clock.now() - self._renewed_at

    @property
    def is_valid(self) -> bool:
        """Whether orders may be sent now."""
        return not self._is_over and self.seconds_left > 0

    @property
    def is_over(self) -> bool:
        """Whether the term has ended permanently."""
        return self._is_over

    @property
    def is_in_doubt(self) -> bool:
        """Whether renewals are so overdue that the lease may expire."""
        return self.renewal_age > self._times.in_doubt_after
