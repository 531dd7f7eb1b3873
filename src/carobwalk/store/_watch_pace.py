"""Pauses between the calls of a watch."""

from typing import Final

from carobwalk.model import Clock

_BURST_CALLS: Final = 3
_CALL_SECONDS: Final = 1.0


class WatchPace:
    """Lets a watch call at once after single changes, not in a series.

    Each answer of a watch costs a call of every process that follows the
    prefix. In a series the changes of a second are fetched together.

    Args:
        clock: Clock of the pauses.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._calls = float(_BURST_CALLS)
        self._counted_at = clock.now()

    def pause(self) -> float:
        """Count a call; return the seconds to wait before it."""
        now = self._clock.now()
        earned = (now - self._counted_at) / _CALL_SECONDS
        self._counted_at = now
        self._calls = min(self._calls + earned, _BURST_CALLS) - 1
        return max(-self._calls * _CALL_SECONDS, 0)
