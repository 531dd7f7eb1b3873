"""Times of a process that shuts down."""

import math

import trio


class Shutdown:
    """Bounds requests by the end of the process, once that is known."""

    def __init__(self) -> None:
        self._late_after = math.inf
        self._ends_at = math.inf

    def begin(self, late_after: float, ends_at: float) -> None:
        """Set the times of the shutdown.

        Args:
            late_after: Time on the event loop's clock from which a request is
                only accepted if its deadline lies before the end.
            ends_at: Time by which the last request is answered.
        """
        self._late_after = late_after
        self._ends_at = ends_at

    def limit(self, deadline: float) -> float:
        """Return a deadline that is not after the end of the process."""
        return min(deadline, self._ends_at)

    def is_too_late(self, deadline: float) -> bool:
        """Return whether a request that was just read is not to be accepted.

        It would be cut at its end; at another process it has its whole time.
        """
        is_late = trio.current_time() >= self._late_after
        return is_late and deadline > self._ends_at
