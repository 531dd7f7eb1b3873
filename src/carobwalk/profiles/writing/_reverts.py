"""Recognition of writes that take back others' recent changes."""

from collections.abc import Mapping
from types import MappingProxyType

from carobwalk.model import OperatorName
from carobwalk.profiles._change import Action, Change, FieldChange
from carobwalk.profiles._entity import FieldValue

# The entity as a whole counts as a field: a creation sets it, a deletion
# removes it.
_WHOLE = ''
_EXISTENCE_BY_ACTION: Mapping[Action, FieldChange] = MappingProxyType(
    {
        Action.CREATE: FieldChange(_WHOLE, None, after=True),
        Action.DELETE: FieldChange(_WHOLE, before=True, after=None),
    }
)


def collect_reverted(
    recent: tuple[Change, ...],
    change: Change,
) -> tuple[Change, ...]:
    """Return others' changes that a new change takes back.

    It takes others' changes back if it restores a value that a field had
    before one of them.

    Args:
        recent: Accepted changes of the subject, oldest first.
        change: The new change.
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
    passed: list[Change] = []
    for earlier in reversed(recent):
        before = _values_before(earlier, change.field)
        if before:
            passed.append(earlier)
        if change.after in before:
            return tuple(other for other in passed if other.author != author)
    return ()


def _values_before(change: Change, field: str) -> list[FieldValue]:
    return [
        entry.before for entry in _field_changes(change) if entry.field == field
    ]


def _field_changes(change: Change) -> tuple[FieldChange, ...]:
    existence = _EXISTENCE_BY_ACTION.get(change.action)
    return change.fields if existence is None else (*change.fields, existence)
