"""Passive health statistics of one server of an unkeyed service."""

_LATENCY_WEIGHT = 0.1
_EJECTION_FAILURES = 3
_MIN_EJECTION_SECONDS = 2
_MAX_EJECTION_SECONDS = 30
_REFUSAL_SECONDS = 1
_MIN_SILENCE_SECONDS = 2
_SILENCE_FACTOR = 10


class ServerStats:
    """Latency, load and failures of one backend server.

    They cover only the requests that this entry sent.
    """

    def __init__(self) -> None:
        self._latency: float = 0
        self._in_flight = 0
        self._failures = 0
        self._ejected_until: float = 0
        self._refusing_until: float = 0
        self._silent_since: float = 0

    @property
    def cost(self) -> float:
        """Expected latency of one more request, to compare servers."""
        return (self._in_flight + 1) * self._latency

    def ejected_until(self, now: float) -> float:
        """Return when its ejection ends, on the entry's clock.

        A server that has requests in flight but has not responded for long
        stays ejected until it responds.

        Args:
            now: Current time on the entry's clock.
        """
        max_silence = max(_MIN_SILENCE_SECONDS, _SILENCE_FACTOR * self._latency)
        if self._in_flight and now > self._silent_since + max_silence:
            return max(self._ejected_until, now + _MIN_EJECTION_SECONDS)
        return self._ejected_until

    def is_refusing(self, now: float) -> bool:
        """Return whether it recently refused a request."""
        return now < self._refusing_until

    def request_started(self, now: float) -> None:
        """Count a request that is about to be sent."""
        if not self._in_flight:
            self._silent_since = now
        self._in_flight += 1

    def request_ended(self) -> None:
        """Count a request that has finished."""
        self._in_flight -= 1

    def record_success(self, seconds: float, now: float) -> None:
        """Record a response, which ends an ejection.

        Args:
            seconds: Latency of the request.
            now: Current time on the entry's clock.
        """
        self._silent_since = now
        if not self._latency:
            self._latency = seconds
        self._latency += _LATENCY_WEIGHT * (seconds - self._latency)
        self._failures = 0
        self._ejected_until = 0

    def record_refusal(self, now: float) -> None:
        """Record a refusal due to load."""
        self._silent_since = now
        self._refusing_until = now + _REFUSAL_SECONDS

    def record_failure(self, now: float) -> None:
        """Record a failure.

        After a few consecutive failures the server is ejected, for twice as
        long with each further one.
        """
        self._failures += 1
        excess = self._failures - _EJECTION_FAILURES
        if excess >= 0:
            seconds = _MIN_EJECTION_SECONDS * 2**excess
            self._ejected_until = now + min(seconds, _MAX_EJECTION_SECONDS)
