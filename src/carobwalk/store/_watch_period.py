"""Period in which a watch is renewed, so that its answers prove currency."""

from dataclasses import dataclass
from typing import Final

# Wait of the first watch after the way to the store was opened: its answer
# tells whether anything has changed.
_FIRST_WAIT_SECONDS: Final = 0.05
# A watch that would end sooner than this ends one period later.
_SHORTEST_WAIT_SECONDS: Final = 0.05
_UNBOUNDED_SECONDS: Final = 25.0
_UNBOUNDED_MARGIN_SECONDS: Final = 5.0


@dataclass(frozen=True, slots=True)
class WatchPeriod:
    """How long the watches of a prefix wait for changes.

    A watch that waits proves nothing: the store may not be reached any more.
    Watches end at multiples of the period, so that those of several prefixes
    end, and prove that nothing has changed, at one time.

    Args:
        seconds: Time between the ends of watches that find no change.
        margin: Time in seconds beyond the wait of a watch until its answer
            begins; a large one takes longer to arrive.
    """

    seconds: float = _UNBOUNDED_SECONDS
    margin: float = _UNBOUNDED_MARGIN_SECONDS

    def wait(self, now: float, *, is_first: bool) -> float:
        """Return how long in seconds a watch that begins now waits.

        Args:
            now: Current time in seconds.
            is_first: Whether it is the first one after a pause.
        """
        if is_first:
            return min(_FIRST_WAIT_SECONDS, self.seconds)
        left = self.seconds - now % self.seconds
        if left < _SHORTEST_WAIT_SECONDS:
            left += self.seconds
        return left
