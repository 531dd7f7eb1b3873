"""Crashes of backend servers, counted by request fingerprint."""

from collections import defaultdict
from typing import Final

from carobwalk.directory import ServerIncarnation
from carobwalk.model import Clock

# Other requests that run concurrently with the culprit are rarely running in
# three crashes.
_MIN_CRASHES: Final = 3
_RETENTION_SECONDS: Final = 60.0


class CrashCounts:
    """Crashed incarnations by request fingerprint, across all processes.

    Args:
        clock: Clock by which crashes expire.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._times_by_fingerprint: dict[
            int, dict[ServerIncarnation, float]
        ] = defaultdict(dict)

    def record(self, fingerprint: int, incarnation: ServerIncarnation) -> None:
        """Record a crash of an incarnation that was running a request."""
        self._times_by_fingerprint[fingerprint][incarnation] = self._clock.now()

    def culprits(self) -> tuple[int, ...]:
        """Return fingerprints of requests that repeatedly crashed servers."""
        self._drop_expired()
        return tuple(
            fingerprint
            for fingerprint, crash_times in self._times_by_fingerprint.items()
            if len(crash_times) >= _MIN_CRASHES
        )

    def _drop_expired(self) -> None:
        limit = self._clock.now() - _RETENTION_SECONDS
        for fingerprint, crash_times in tuple(
            self._times_by_fingerprint.items()
        ):
            if max(crash_times.values()) < limit:
                self._times_by_fingerprint.pop(fingerprint)
