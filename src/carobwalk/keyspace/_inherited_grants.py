"""Grants of earlier coordinators that a new one does not know."""

from carobwalk.model import Clock


class InheritedGrants:
    """Bounds on unknown grants, as times of the ledger's clock.

    Args:
        clock: Clock that keeps running while the host is suspended.
        holds: Seconds until the last of these grants has expired.
        unanswered: Seconds until the last unanswered one has expired.
    """

    def __init__(self, clock: Clock, holds: float, unanswered: float) -> None:
        self._clock = clock
        now = clock.now()
        self.held_until = now + holds
        self.unanswered_until = now + unanswered

    def lower(self, holds: float, unanswered: float) -> None:
        """Replace the bounds by reported ones that are lower.

        Args:
            holds: Seconds until the last of these grants has expired.
            unanswered: Seconds until the last unanswered one has expired.
        """
        now = self._clock.now()
        self.held_until = min(self.held_until, now + holds)
        self.unanswered_until = min(self.unanswered_until, now + unanswered)

    @property
    def are_over(self) -> bool:
        """Whether all of these grants have expired."""
        end = max(self.held_until, self.unanswered_until)
        return end <= self._clock.now()
