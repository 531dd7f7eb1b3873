"""Log events of the coordinator's term."""

from dataclasses import dataclass
from enum import StrEnum, unique

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


@unique
class QueryOutcome(StrEnum):
    """What the questions to a predecessor have led to."""

    REPORTED = 'reported'
    UNKNOWN_TERM = 'unknown-term'
    UNANSWERED = 'unanswered'
    EXPIRED = 'expired'


@dataclass(frozen=True, slots=True)
class PredecessorAsked(Event):
    """The preceding coordinator was queried for its outstanding grants.

    Logged once if the first question is not answered, and once when the
    questions end during the term.

    Args:
        service: Service whose keys were granted.
        process: Preceding coordinator.
        outcome: ``reported`` if it answered; ``unknown-term`` if it has
            restarted, so that this process waits for the longest possible
            grants; ``unanswered`` if it is asked again; ``expired`` if these
            grants expired first.
        attempts: Number of questions.
        holds: Seconds until the grants that it inherited itself have expired,
            -1 if unknown.
        grants: Number of ranges with grants of its own in force.
        latest: Seconds until the last of those expires, -1 if there is none.
    """

    service: str
    process: str
    outcome: QueryOutcome
    attempts: int
    holds: float
    grants: int
    latest: float
