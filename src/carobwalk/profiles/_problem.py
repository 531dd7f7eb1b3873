"""Problems that validation reports."""

from dataclasses import dataclass
from enum import StrEnum, unique

from carobwalk.profiles._subject import Subject


@unique
class ProblemKind(StrEnum):
    """Kinds of faults in a configuration."""

    BAD_NAME = 'bad-name'
    UNKNOWN_FIELD = 'unknown-field'
    WRONG_TYPE = 'wrong-type'
    OUT_OF_RANGE = 'out-of-range'
    MISSING_FIELD = 'missing-field'
    UNKNOWN_PARENT = 'unknown-parent'
    PARENT_CYCLE = 'parent-cycle'
    UNKNOWN_PROFILE = 'unknown-profile'


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault of one field.

    Args:
        subject: Entity that has the fault.
        field: Field that has the fault; empty for the entity as a whole.
        kind: Kind of fault.
        detail: What is wrong.
        way_out: What would be accepted instead.
    """

    subject: Subject
    field: str
    kind: ProblemKind
    detail: str
    way_out: str
