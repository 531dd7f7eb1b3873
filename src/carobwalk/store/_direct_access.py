"""Whether a process reads records from the store itself, and how often."""

from enum import Enum, auto, unique
from typing import Final

import trio

from carobwalk.store._shared_backoff import SharedBackoff

_MAX_BACKOFF_SECONDS: Final = 0.5
# For processes whose reads serve no other: all of them probe in an outage.
_MAX_FALLBACK_BACKOFF_SECONDS: Final = 1.5
_WATCH_INTERVAL_SECONDS: Final = 1.0
_RELAY_WATCH_INTERVAL_SECONDS: Final = 0.3


@unique
class AccessReason(Enum):
    """Why a process reads records from the store itself."""

    ALWAYS = auto()
    RELAYS = auto()
    COORDINATES = auto()
    NO_RELAY = auto()


class DirectAccess:
    """Opens and closes the way to the store for all followers of a process.

    While ``has_relay``, another process tells this one what it reads, so that
    failed calls are no loss of contact.

    Args:
        reasons: Reasons for which the way is open at first.
    """

    def __init__(self, *reasons: AccessReason) -> None:
        self.has_relay = False
        self.backoff = SharedBackoff()
        self._reasons = set(reasons)
        self._opened = trio.Event()
        self._closed = trio.Event()
        self._notify()

    @property
    def is_open(self) -> bool:
        """Whether the followers call the store."""
        return bool(self._reasons)

    @property
    def reads_for_others(self) -> bool:
        """Whether other processes depend on what this one reads."""
        return not self._reasons.isdisjoint(
            (AccessReason.RELAYS, AccessReason.COORDINATES)
        )

    @property
    def watch_interval(self) -> float:
        """Mean seconds between the calls of a watch in a series of changes."""
        if AccessReason.COORDINATES in self._reasons:
            return 0
        if AccessReason.RELAYS in self._reasons:
            return _RELAY_WATCH_INTERVAL_SECONDS
        return _WATCH_INTERVAL_SECONDS

    @property
    def longest_backoff(self) -> float:
        """Longest wait in seconds before a call after failed ones."""
        if AccessReason.ALWAYS in self._reasons or self.reads_for_others:
            return _MAX_BACKOFF_SECONDS
        return _MAX_FALLBACK_BACKOFF_SECONDS

    def set_reason(self, reason: AccessReason, *, is_present: bool) -> None:
        """Add or remove a reason to read from the store."""
        was_open = self.is_open
        if is_present:
            self._reasons.add(reason)
        else:
            self._reasons.discard(reason)
        if self.is_open != was_open:
            self._notify()

    async def wait_until_open(self) -> None:
        """Wait until the way is open."""
        while not self.is_open:
            await self._opened.wait()

    async def wait_until_closed(self) -> None:
        """Wait until the way is closed."""
        while self.is_open:
            await self._closed.wait()

    def _notify(self) -> None:
        if self.is_open:
            self._opened.set()
            self._closed = trio.Event()
        else:
            self._closed.set()
            self._opened = trio.Event()
