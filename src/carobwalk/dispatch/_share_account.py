"""Slot time that one rank is owed and uses."""

import math

_USAGE_SECONDS = 2
_IDLE_SECONDS = 0.1


class ShareAccount:
    """Balance of the slot time that a rank is entitled to and uses.

    Args:
        entitled: Slots guaranteed to the rank; may be a fraction.
        window: Seconds of entitlement that the balance may hold.
    """

    def __init__(self, entitled: float, window: float) -> None:
        self._entitled = entitled
        self._most = entitled * window
        self._balance = self._most
        self._running = 0
        self._updated_at: float | None = None
        self._usage: float = 0

    @property
    def running(self) -> int:
        """Requests of the rank that have slots."""
        return self._running

    def usage(self, now: float) -> float:
        """Return the mean of the slots that the rank used lately."""
        self._update(now)
        return self._usage

    def owed_seconds(self, now: float) -> float:
        """Return for how long the rank went without its guaranteed share.

        It is 0 while the rank runs as many requests as it has slots.
        """
        self._update(now)
        if self._running >= self._entitled:
            return 0
        return max(self._balance / self._entitled, 0)

    def rest(self, now: float) -> None:
        """Note that no request of the rank waits: little is saved up."""
        self._update(now)
        most = self._entitled * _IDLE_SECONDS
        self._balance = min(self._balance, most)

    def start(self, now: float) -> None:
        """Note that a request of the rank got a slot."""
        self._update(now)
        self._running += 1

    def finish(self, now: float) -> None:
        """Note that a request of the rank left its slot."""
        self._update(now)
        self._running -= 1

    def _update(self, now: float) -> None:
        elapsed = 0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        balance = self._balance + (self._entitled - self._running) * elapsed
        # The bound keeps old surplus and old debt from deciding for long.
        self._balance = min(max(balance, -self._most), self._most)
        weight = math.exp(-elapsed / _USAGE_SECONDS)
        self._usage = weight * self._usage + (1 - weight) * self._running
