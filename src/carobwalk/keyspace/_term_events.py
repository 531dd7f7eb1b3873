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
class PredecessorAsked(Event):
    """The coordinator before this one was asked for its last grants.

    Args:
        service: Service whose keys were granted.
        process: The coordinator before.
        is_answered: Whether it answered; the longest grants that there can
            be are waited for if not.
        holds: Seconds that what it inherited itself may hold, -1 if unknown.
    """

    service: str
    process: str
    is_answered: bool
    holds: float


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
