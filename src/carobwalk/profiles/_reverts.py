"""Recognition of writes that take back others' recent changes."""

from collections.abc import Iterable

from carobwalk.model import OperatorName
from carobwalk.profiles._change import Change, FieldChange


def find_reverted(
    recent: tuple[Change, ...],
    author: OperatorName,
    change: FieldChange,
) -> tuple[Change, ...]:
    """Return others' changes of a field that a new change takes back.

    A change takes others' changes back if it restores a value that the field
    had before one of them.

    Args:
        recent: Accepted changes of the subject, oldest first.
        author: Operator who asks for the new change.
        change: The new change of one field.
    """
    passed: list[Change] = []
    for earlier in reversed(recent):
        before = _values_before(earlier, change.field)
        if before:
            passed.append(earlier)
        if change.after in before:
            return tuple(other for other in passed if other.author != author)
    return ()


def _values_before(change: Change, field: str) -> list[object]:
    return [entry.before for entry in change.fields if entry.field == field]


def collect_reverted(
    recent: tuple[Change, ...],
    author: OperatorName,
    changes: Iterable[FieldChange],
) -> tuple[Change, ...]:
    """Return others' changes that any of the new field changes takes back."""
    reverted: dict[int, Change] = {}
    for change in changes:
        found = find_reverted(recent, author, change)
        reverted.update({other.revision: other for other in found})
    return tuple(reverted[revision] for revision in sorted(reverted))
