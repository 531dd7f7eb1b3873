"""Requests that crash the backend servers that run them."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import trio
import xxhash

from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._life import Life

# Time between the loss of a connection and a refused one that shows that the
# server's process has ended.
_CRASH_SECONDS: Final = 1.5
_QUARANTINE_SECONDS: Final = 60.0
_MOST_REQUESTS: Final = 10_000
_SEPARATOR: Final = b'\x00'


@dataclass(frozen=True, slots=True)
class Crash:
    """A request that was running when a life of a server ended.

    Args:
        fingerprint: Fingerprint of the request.
        life: The life that ended.
    """

    fingerprint: int
    life: Life


@dataclass(frozen=True, slots=True)
class _Loss:
    fingerprint: int
    lost_at: float


class CrashSuspects:
    """Notes what ran on servers that crashed, and refuses known culprits.

    Whether a request is one is decided where the crashes that all processes
    saw come together.
    """

    def __init__(self) -> None:
        self._losses_by_life: dict[Life, list[_Loss]] = {}
        self._crashes: list[Crash] = []
        self._until_by_fingerprint: dict[int, float] = {}

    def is_quarantined(self, request: CallerRequest) -> bool:
        """Return whether a request is known to crash servers."""
        if not self._until_by_fingerprint:
            return False
        until = self._until_by_fingerprint.get(fingerprint_of(request), 0)
        return trio.current_time() < until

    def record_lost(self, request: CallerRequest, life: Life) -> None:
        """Take in that a connection was lost while it carried a request."""
        losses = self._losses_by_life.setdefault(life, [])
        if len(losses) < _MOST_REQUESTS:
            loss = _Loss(fingerprint_of(request), trio.current_time())
            losses.append(loss)

    def record_refused(self, life: Life) -> None:
        """Take in that nothing listens at a server's address any more."""
        earliest = trio.current_time() - _CRASH_SECONDS
        for loss in self._losses_by_life.pop(life, ()):
            if loss.lost_at >= earliest:
                self._crashes.append(Crash(loss.fingerprint, life))

    def take_crashes(self) -> tuple[Crash, ...]:
        """Return what was noted since the last call."""
        crashes = tuple(self._crashes)
        self._crashes.clear()
        self._forget_old()
        return crashes

    def quarantine(self, fingerprints: Iterable[int]) -> list[int]:
        """Refuse requests from now on; return those that are new."""
        now = trio.current_time()
        new = []
        for fingerprint in fingerprints:
            if self._until_by_fingerprint.get(fingerprint, 0) <= now:
                new.append(fingerprint)
            self._until_by_fingerprint[fingerprint] = now + _QUARANTINE_SECONDS
        return new

    def _forget_old(self) -> None:
        now = trio.current_time()
        for life, losses in tuple(self._losses_by_life.items()):
            if losses[-1].lost_at < now - _CRASH_SECONDS:
                self._losses_by_life.pop(life)
        for known, until in tuple(self._until_by_fingerprint.items()):
            if until <= now:
                self._until_by_fingerprint.pop(known)


def fingerprint_of(request: CallerRequest) -> int:
    """Return what a request has in common with its repeats.

    A repeat has another id, and comes at any process.
    """
    parts = (
        request.caller.encode(),
        request.method,
        request.target,
        str(request.key).encode(),
        request.body,
    )
    return xxhash.xxh3_64_intdigest(_SEPARATOR.join(parts))
