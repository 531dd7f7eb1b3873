"""Interface and registry of concurrency limits."""

from enum import StrEnum
from typing import Protocol

from carobwalk.dispatch._registry import Registry
from carobwalk.profiles import Profile


class SendEnd(StrEnum):
    """How a request that held a slot ended, for the concurrency limit."""

    ANSWERED = 'answered'
    SHED = 'shed'
    LOST = 'lost'
    OVERDUE = 'overdue'
    UNUSED = 'unused'


class LimitPolicy(Protocol):
    """Concurrency limit of one backend server."""

    def apply(self, profile: Profile) -> None:
        """Apply changed settings."""

    def may_start(self, running: int, now: float) -> bool:
        """Return whether one more request may start.

        Args:
            running: Number of running requests.
            now: Current time on the dispatcher's clock.
        """

    def wait(self, now: float) -> float:
        """Return in how many seconds `may_start` may change by itself."""

    def started(self, now: float) -> None:
        """Record that a request has started."""

    def ended(self, end: SendEnd, running: int, now: float) -> None:
        """Record how a request that held a slot ended.

        Args:
            end: How it ended.
            running: Number of requests that are still running.
            now: Current time on the dispatcher's clock.
        """


limit_policies: Registry[LimitPolicy] = Registry()
