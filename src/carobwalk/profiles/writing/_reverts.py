"""Detection of writes that revert recent changes of other operators."""

from collections.abc import Mapping
from types import MappingProxyType

from carobwalk.model import OperatorName
from carobwalk.profiles._change import Action, Change, FieldChange
from carobwalk.profiles._entity import FieldValue

# Pseudo-field for the existence of the entity: a creation sets it, a deletion
# clears it.
_ENTITY_FIELD = ''
_EXISTENCE_BY_ACTION: Mapping[Action, FieldChange] = MappingProxyType(
    {
        Action.CREATE: FieldChange(_ENTITY_FIELD, None, after=True),
        Action.DELETE: FieldChange(_ENTITY_FIELD, before=True, after=None),
    }
)


def collect_reverted(
    recent: tuple[Change, ...],
    change: Change,
) -> tuple[Change, ...]:
    """Return the changes of other operators that a new change reverts.

    A change reverts another one if it restores a value that a field had
    before it.

    Args:
        recent: Accepted changes of the subject, oldest first.
        change: The new change.

    Returns:
        The reverted changes, sorted by revision.
    """
    reverted: dict[int, Change] = {}
    for field_change in _field_changes(change):
        found = _find_reverted(recent, change.author, field_change)
        reverted.update({other.revision: other for other in found})
    return tuple(reverted[revision] for revision in sorted(reverted))


def _find_reverted(
    recent: tuple[Change, ...],
    author: OperatorName,
    change: FieldChange,
) -> tuple[Change, ...]:
    later_changes: list[Change] = []
    for earlier in reversed(recent):
        before = _values_before(earlier, change.field)
        if before:
            later_changes.append(earlier)
        if change.after in before:
            return tuple(
                other for other in later_changes if other.author != author
            )
    return ()


def _values_before(change: Change, field: str) -> list[FieldValue]:
    return [
        entry.before for entry in _field_changes(change) if entry.field == field
    ]


def _field_changes(change: Change) -> tuple[FieldChange, ...]:
    existence = _EXISTENCE_BY_ACTION.get(change.action)
    return change.fields if existence is None else (*change.fields, existence)
