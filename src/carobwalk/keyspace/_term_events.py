"""Events of the role of the coordinator."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class TermStarted(Event):
    """This process coordinates from now on.

    Args:
        lease: Lease that holds the role.
        inherited: Seconds for which grants of earlier coordinators may hold.
    """

    lease: str
    inherited: float


@dataclass(frozen=True, slots=True)
class TermEnded(Event):
    """This process coordinates no more.

    Args:
        lease: Lease that held the role.
        cause: Why it ended.
    """

    lease: str
    cause: str


@dataclass(frozen=True, slots=True)
class TermInDoubt(Event):
    """The lease of the role could not be renewed for a while.

    Args:
        lease: Lease that holds the role.
        left: Seconds until it may have lapsed.
        detail: What went wrong.
    """

    level: ClassVar[str] = 'warning'

    lease: str
    left: float
    detail: str
