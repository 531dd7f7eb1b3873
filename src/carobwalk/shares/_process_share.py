"""Share of one process in the limits that bind all processes together."""

import math
from typing import Final

import trio

# How long a share may be used after the coordinator has told it. A process that
# the coordinator no longer hears from still counts as a sharer for longer.
SHARE_SECONDS: Final = 3.0


class ProcessShare:
    """Number of processes that share limits, as long as it is confirmed.

    A process that does not know the number, or has not been told it lately, has
    no share: an assumed number may be many times too small.
    """

    def __init__(self) -> None:
        self._sharers = 0
        self._told_at = -math.inf
        self._held_since = math.inf

    @property
    def sharers(self) -> int:
        """Number of processes that share limits, 0 if it isn't known."""
        return self._sharers if self._is_confirmed else 0

    @property
    def cautious_sharers(self) -> int:
        """Number of processes to divide a limit by, 0 if it was never told.

        It is twice the last number told once this isn't confirmed any more: the
        processes that the coordinator still hears from may take over a part.
        """
        return self._sharers if self._is_confirmed else 2 * self._sharers

    def sharers_for(self, window: float) -> int:
        """Return the number of sharers of a limit on a window.

        Args:
            window: Length of the window in seconds.

        Returns:
            The number, 0 if this process has had no share for so long: the
            others may have used its part of the window, or it may have done so
            itself before a restart.
        """
        held_seconds = trio.current_time() - self._held_since
        return self.sharers if held_seconds >= window else 0

    def renew(self, sharers: int) -> None:
        """Set the number of processes that share limits.

        Args:
            sharers: The number as told by the coordinator, 0 if it does not
                know it yet.
        """
        if not sharers:
            return
        now = trio.current_time()
        if not self._is_confirmed:
            self._held_since = now
        self._sharers = sharers
        self._told_at = now

    @property
    def _is_confirmed(self) -> bool:
        return trio.current_time() - self._told_at < SHARE_SECONDS
