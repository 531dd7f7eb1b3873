"""Bound on the retries of a dispatcher."""

_MOST_SAVED = 10
_ROUNDING = 1e-9


class RetryBudget:
    """Earns a part of a retry with each success and spends one per retry.

    It starts empty, so sends never exceed arrivals plus ``ratio`` times the
    successes.
    """

    def __init__(self) -> None:
        self._saved: float = 0

    def earn(self, ratio: float) -> None:
        """Count a success.

        Args:
            ratio: Retries that one success pays for.
        """
        self._saved = min(self._saved + ratio, _MOST_SAVED)

    def spend(self) -> bool:
        """Take one retry out; return whether there was one."""
        if self._saved < 1 - _ROUNDING:
            return False
        self._saved -= 1
        return True
