"""Detection of requests that crash the backend servers that run them."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import trio
import xxhash

from carobwalk.directory import ServerIncarnation
from carobwalk.gateway._caller_request import CallerRequest

# A server counts as crashed if it refuses a connection within this time after
# another one was lost.
_CRASH_WINDOW_SECONDS: Final = 1.5
_QUARANTINE_SECONDS: Final = 60.0
_MAX_LOSSES_PER_INCARNATION: Final = 10_000
_MAX_UNREPORTED_CRASHES: Final = 10_000
_SEPARATOR: Final = b'\x00'


@dataclass(frozen=True, slots=True)
class Crash:
    """Request that was running when a backend server crashed.

    Args:
        fingerprint: Fingerprint of the request.
        incarnation: Incarnation of the server that crashed.
    """

    fingerprint: int
    incarnation: ServerIncarnation


@dataclass(frozen=True, slots=True)
class _Loss:
    fingerprint: int
    lost_at: float


class CrashTracker:
    """Records requests that ran on crashed servers, and quarantines them.

    The coordinator decides which requests are quarantined, from the crashes
    that all processes report.
    """

    def __init__(self) -> None:
        self._losses_by_incarnation: dict[ServerIncarnation, list[_Loss]] = {}
        self._crashes: list[Crash] = []
        self._until_by_fingerprint: dict[int, float] = {}

    def is_quarantined(self, request: CallerRequest) -> bool:
        """Return whether a request is quarantined for crashing servers."""
        if not self._until_by_fingerprint:
            return False
        until = self._until_by_fingerprint.get(fingerprint_of(request), 0)
        return trio.current_time() < until

    def record_lost_connection(
        self, request: CallerRequest, incarnation: ServerIncarnation
    ) -> None:
        """Record that a connection was lost while it carried a request."""
        losses = self._losses_by_incarnation.setdefault(incarnation, [])
        if len(losses) < _MAX_LOSSES_PER_INCARNATION:
            loss = _Loss(fingerprint_of(request), trio.current_time())
            losses.append(loss)

    def record_refused_connection(self, incarnation: ServerIncarnation) -> None:
        """Record that a server refused a connection.

        Requests whose connections to it were lost shortly before count as
        running during a crash.
        """
        earliest = trio.current_time() - _CRASH_WINDOW_SECONDS
        for loss in self._losses_by_incarnation.pop(incarnation, ()):
            if loss.lost_at >= earliest:
                self._crashes.append(Crash(loss.fingerprint, incarnation))

    def pop_crashes(self) -> tuple[Crash, ...]:
        """Return the crashes recorded since the last call."""
        crashes = tuple(self._crashes)
        self._crashes.clear()
        self._remove_expired()
        return crashes

    def restore_crashes(self, crashes: Iterable[Crash]) -> None:
        """Take back crashes that could not be reported.

        Args:
            crashes: Crashes returned by ``pop_crashes``.
        """
        kept = [*crashes, *self._crashes]
        self._crashes = kept[-_MAX_UNREPORTED_CRASHES:]

    def quarantine(self, fingerprints: Iterable[int]) -> list[int]:
        """Quarantine requests, or extend their quarantine.

        Args:
            fingerprints: Fingerprints of the requests.

        Returns:
            Fingerprints that were not quarantined before.
        """
        now = trio.current_time()
        new = []
        for fingerprint in fingerprints:
            if self._until_by_fingerprint.get(fingerprint, 0) <= now:
                new.append(fingerprint)
            self._until_by_fingerprint[fingerprint] = now + _QUARANTINE_SECONDS
        return new

    def _remove_expired(self) -> None:
        now = trio.current_time()
        for incarnation, losses in tuple(self._losses_by_incarnation.items()):
            if losses[-1].lost_at < now - _CRASH_WINDOW_SECONDS:
                self._losses_by_incarnation.pop(incarnation)
        for known, until in tuple(self._until_by_fingerprint.items()):
            if until <= now:
                self._until_by_fingerprint.pop(known)


def fingerprint_of(request: CallerRequest) -> int:
    """Return a hash that is the same for all retries of a request.

    The request id is left out: a retry by the caller has another id and may
    arrive at any process.
    """
    parts = (
        request.caller.encode(),
        request.method,
        request.target,
        str(request.key).encode(),
        request.body,
    )
    return xxhash.xxh3_64_intdigest(_SEPARATOR.join(parts))
