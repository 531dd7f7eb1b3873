"""Retry budget of a dispatcher, a token bucket that successes fill."""

_MAX_SAVED_RETRIES = 10
_ROUNDING_TOLERANCE = 1e-9


class TokenBucketRetryBudget:
    """Limits retries to a fraction of the successful requests.

    The budget starts empty, so the number of sends never exceeds the number
    of requests plus ``ratio`` times the number of successes. Time plays no
    part: a backend server that fails gets only the few retries saved before,
    however long it fails. The ``SlidingWindowRetryBudget`` of the gateway
    relates retries to all requests of a window instead.
    """

    def __init__(self) -> None:
        self._saved_retries: float = 0

    def earn(self, ratio: float) -> None:
        """Add to the budget after a success.

        Args:
            ratio: Retries that each success allows.
        """
        self._saved_retries = min(
            self._saved_retries + ratio, _MAX_SAVED_RETRIES
        )

    def spend(self) -> bool:
        """Consume one retry; return whether the budget allowed it."""
        if self._saved_retries < 1 - _ROUNDING_TOLERANCE:
            return False
        self._saved_retries -= 1
        return True
