"""Log events of terms in a role."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class TermEnded(Event):
    """The term of this process in a role ended.

    Args:
        lease: Lease that the role was bound to.
        cause: Reason for the end.
    """

    lease: str
    cause: str


@dataclass(frozen=True, slots=True)
class TermInDoubt(Event):
    """A renewal of a role's lease failed; the lease may expire.

    Args:
        lease: Lease that the role is bound to.
        left: Seconds until it may have expired.
        detail: Description of the failure.
    """

    level: ClassVar[str] = 'warning'

    lease: str
    left: float
    detail: str
