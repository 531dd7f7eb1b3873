"""Contract and registry of concurrency limits."""

from enum import StrEnum
from typing import Protocol

from carobwalk.dispatch._registry import Registry
from carobwalk.profiles import Profile


class SendEnd(StrEnum):
    """How a slot's use ended, as the limit sees it."""

    ANSWERED = 'answered'
    SHED = 'shed'
    LOST = 'lost'
    OVERDUE = 'overdue'
    UNUSED = 'unused'


class LimitPolicy(Protocol):
    """How many requests may run at one backend server at once."""

    def apply(self, profile: Profile) -> None:
        """Take over changed settings."""

    def may_start(self, running: int, now: float) -> bool:
        """Return whether one more request may start.

        Args:
            running: Requests that run now.
            now: Time on the dispatcher's clock.
        """

    def wait(self, now: float) -> float:
        """Return seconds until the answer may change with time alone."""

    def started(self, now: float) -> None:
        """Note that a request started."""

    def ended(self, end: SendEnd, running: int, now: float) -> None:
        """Note how a request left its slot.

        Args:
            end: How the slot's use ended.
            running: Requests that run on.
            now: Time on the dispatcher's clock.
        """


limit_policies: Registry[LimitPolicy] = Registry()
