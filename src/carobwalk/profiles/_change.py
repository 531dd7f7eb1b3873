"""History entries of the configuration."""

from dataclasses import dataclass
from enum import StrEnum, unique

from carobwalk.model import OperatorName
from carobwalk.profiles._entity import Fields, FieldValue
from carobwalk.profiles._subject import Subject


@unique
class Action(StrEnum):
    """What a write does to its subject."""

    CREATE = 'create'
    EDIT = 'edit'
    PUT = 'put'
    DELETE = 'delete'


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A field before and after; ``None`` stands for a field not set."""

    field: str
    before: FieldValue
    after: FieldValue


@dataclass(frozen=True, slots=True)
class Change:
    """An entry of the history.

    Args:
        revision: Revision of the configuration that the change made.
        write_id: Identity that the writer gave to the write.
        author: Operator who made it.
        reason: Why, in the operator's words.
        at: Time of acceptance in seconds since 1970, by the writer's clock.
        subject: What was changed.
        action: Whether it was created, edited or deleted.
        fields: The difference, by field.
        reverted: Revisions of others that the change takes back, as stated.
    """

    revision: int
    write_id: str
    author: OperatorName
    reason: str
    at: float
    subject: Subject
    action: Action
    fields: tuple[FieldChange, ...]
    reverted: tuple[int, ...] = ()


def compare_fields(before: Fields, after: Fields) -> tuple[FieldChange, ...]:
    """Return the fields that differ, sorted by name."""
    return tuple(
        FieldChange(field, before.get(field), after.get(field))
        for field in sorted(before.keys() | after.keys())
        if before.get(field) != after.get(field)
    )
