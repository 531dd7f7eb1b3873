"""Log events of the coordinator's term."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class TermStarted(Event):
    """This process became coordinator of a service's keys.

    Args:
        lease: Lease that the role is bound to.
        inherited: Seconds for which unanswered grants of earlier coordinators
            may still be in force.
    """

    lease: str
    inherited: float


@dataclass(frozen=True, slots=True)
class PredecessorAsked(Event):
    """The preceding coordinator was queried for its outstanding grants.

    Args:
        service: Service whose keys were granted.
        process: Preceding coordinator.
        is_answered: Whether it answered; if not, this process waits for the
            longest possible grants.
        holds: Seconds until the grants that it inherited itself have expired,
            -1 if unknown.
        grants: Number of ranges with grants of its own in force.
        latest: Seconds until the last of those expires, -1 if there is none.
    """

    service: str
    process: str
    is_answered: bool
    holds: float
    grants: int
    latest: float


@dataclass(frozen=True, slots=True)
class TermEnded(Event):
    """The term of this process as coordinator ended.

    Args:
        lease: Lease that the role was bound to.
        cause: Reason for the end.
    """

    lease: str
    cause: str


@dataclass(frozen=True, slots=True)
class TermInDoubt(Event):
    """A renewal of the coordinator's lease failed; the lease may expire.

    Args:
        lease: Lease that the role is bound to.
        left: Seconds until it may have expired.
        detail: Description of the failure.
    """

    level: ClassVar[str] = 'warning'

    lease: str
    left: float
    detail: str
