"""Time until which all has to be served, moved by freezes of the soak."""

from typing import Final

import trio

from soak._freeze_watch import Freeze, FreezeWatch

_POLL_SECONDS: Final = 0.02

# Neither freezes in series nor long ones may put off a report for ever.
MAX_FREEZES: Final = 5
MAX_SECONDS: Final = 60.0


class RecoveryBound:
    """Time until which all has to be served after the last fault.

    A freeze of the soak's process that begins before this time is a fault of
    the store and of all servers, so that the time counts from its end.

    Args:
        timeout: Time in seconds to serve all after the last fault.
        watch: Records the freezes of the run.
    """

    def __init__(self, timeout: float, watch: FreezeWatch) -> None:
        self.began_at = trio.current_time()
        self._timeout = timeout
        self._watch = watch

    @property
    def freezes(self) -> list[Freeze]:
        """Freezes since the last fault of the plan."""
        freezes = self._watch.freezes
        return [one for one in freezes if one.ended_at > self.began_at]

    def describe_freezes(self) -> str:
        """Return the freezes since the last fault of the plan."""
        return ', '.join(str(freeze) for freeze in self.freezes) or 'none'

    @property
    def ends_at(self) -> float:
        """Time of the event loop until which all has to be served."""
        ends_at = self.began_at + self._timeout
        for freeze in self.freezes[:MAX_FREEZES]:
            if freeze.began_at < ends_at:
                ends_at = freeze.ended_at + self._timeout
        return min(ends_at, self.began_at + MAX_SECONDS)

    async def wait(self) -> None:
        """Wait until the time has passed and all freezes in it are known."""
        while self._watch.checked_at < self.ends_at:
            await trio.sleep(_POLL_SECONDS)
