"""Accounting of the slot time of one rank."""

import math

_USAGE_TIME_CONSTANT_SECONDS = 2
_IDLE_CREDIT_SECONDS = 0.1


class ShareAccount:
    """Balances the slot time a rank is entitled to against its usage.

    Args:
        entitled: Slots guaranteed to the rank; may be a fraction.
        window: Maximum balance or debt, in seconds of entitlement.
    """

    def __init__(self, entitled: float, window: float) -> None:
        self._entitled = entitled
        self._max_balance = entitled * window
        self._balance = self._max_balance
        self._running = 0
        self._updated_at: float | None = None
        self._usage: float = 0

    @property
    def running(self) -> int:
        """Number of requests of the rank that hold a slot."""
        return self._running

    def usage(self, now: float) -> float:
        """Return the mean number of slots that the rank recently used."""
        self._update(now)
        return self._usage

    def owed_seconds(self, now: float) -> float:
        """Return for how many seconds the rank has lacked its share.

        It is 0 while the rank uses all slots it is entitled to.
        """
        self._update(now)
        if self._running >= self._entitled:
            return 0
        return max(self._balance / self._entitled, 0)

    def mark_idle(self, now: float) -> None:
        """Record that no request of the rank waits, which caps its balance."""
        self._update(now)
        max_balance = self._entitled * _IDLE_CREDIT_SECONDS
        self._balance = min(self._balance, max_balance)

    def start(self, now: float) -> None:
        """Record that a request of the rank acquired a slot."""
        self._update(now)
        self._running += 1

    def finish(self, now: float) -> None:
        """Record that a request of the rank released its slot."""
        self._update(now)
        self._running -= 1

    def _update(self, now: float) -> None:
        elapsed = 0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        balance = self._balance + (self._entitled - self._running) * elapsed
        # The limit keeps old surplus or debt from dominating for long.
        self._balance = min(max(balance, -self._max_balance), self._max_balance)
        weight = math.exp(-elapsed / _USAGE_TIME_CONSTANT_SECONDS)
        self._usage = weight * self._usage + (1 - weight) * self._running
