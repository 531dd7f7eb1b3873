"""What an entry knows of one backend server of an unkeyed service."""

_LATENCY_WEIGHT = 0.1
_EJECTING_FAILURES = 3
_SHORTEST_EJECTION_SECONDS = 2
_LONGEST_EJECTION_SECONDS = 30
_REFUSAL_SECONDS = 1
_SILENCE_SECONDS = 2
_SILENCE_FACTOR = 10


class Candidate:
    """Own outcomes of one backend server."""

    def __init__(self) -> None:
        self._latency: float = 0
        self._present = 0
        self._failures = 0
        self._ejected_until: float = 0
        self._refusing_until: float = 0
        self._silent_since: float = 0

    @property
    def cost(self) -> float:
        """Expected time of one more request, for comparison."""
        return (self._present + 1) * self._latency

    def ejected_until(self, now: float) -> float:
        """Return the end of its ejection on the entry's clock.

        A server that has work and answers nothing for long is ejected as
        long as it is silent.
        """
        most = max(_SILENCE_SECONDS, _SILENCE_FACTOR * self._latency)
        if self._present and now > self._silent_since + most:
            return max(self._ejected_until, now + _SHORTEST_EJECTION_SECONDS)
        return self._ejected_until

    def is_refusing(self, now: float) -> bool:
        """Return whether it refused work lately."""
        return now < self._refusing_until

    def begin(self, now: float) -> None:
        """Note that a request goes there."""
        if not self._present:
            self._silent_since = now
        self._present += 1

    def end(self) -> None:
        """Note that a request is back."""
        self._present -= 1

    def succeeded(self, seconds: float, now: float) -> None:
        """Note an answer."""
        self._silent_since = now
        if not self._latency:
            self._latency = seconds
        self._latency += _LATENCY_WEIGHT * (seconds - self._latency)
        self._failures = 0
        self._ejected_until = 0

    def refused(self, now: float) -> None:
        """Note a refusal under load."""
        self._silent_since = now
        self._refusing_until = now + _REFUSAL_SECONDS

    def failed(self, now: float) -> None:
        """Note a loss; a few in a row eject for longer each time."""
        self._failures += 1
        excess = self._failures - _EJECTING_FAILURES
        if excess >= 0:
            seconds = _SHORTEST_EJECTION_SECONDS * 2**excess
            self._ejected_until = now + min(seconds, _LONGEST_EJECTION_SECONDS)
