"""Construction of writes that revert an earlier change."""

from collections.abc import Mapping
from types import MappingProxyType

from result import Err, Ok, Result

from carobwalk.admin._bodies import Reversal
from carobwalk.admin._parts import AdministrationParts
from carobwalk.admin._writes import Statement
from carobwalk.profiles import (
    Action,
    Change,
    ChangeNotKept,
    Fields,
    HeadRecord,
    ReadFailure,
    StaleRevision,
    Subject,
)

_INVERSE_ACTIONS: Mapping[Action, Action] = MappingProxyType(
    {
        Action.CREATE: Action.DELETE,
        Action.EDIT: Action.EDIT,
        Action.DELETE: Action.CREATE,
    }
)


async def build_revert(
    parts: AdministrationParts,
    subject: Subject,
    body: Reversal,
) -> Result[Statement, ReadFailure | StaleRevision]:
    """Return a write that restores the fields from before a change.

    Fields that were changed again since then cause a conflict.

    Args:
        parts: Dependencies and settings.
        subject: Subject that the change must belong to.
        body: Revision of the change and the reason to revert it.
    """
    found = await parts.history.find_change(body.revision)
    if isinstance(found, Err):
        return found
    change = found.ok_value
    if change.subject != subject:
        return Err(ChangeNotKept(body.revision))
    head = await parts.repository.read()
    if isinstance(head, Err):
        return head
    record = head.ok_value
    fields = _restored_fields(record, change)
    if fields is None:
        return Err(_conflict(record, change))
    return Ok(
        Statement(
            subject=subject,
            action=_INVERSE_ACTIONS[change.action],
            fields=fields,
            reason=body.reason,
            reverting=(body.revision,),
            base_revision=record.revision,
        ),
    )


def _restored_fields(record: HeadRecord, change: Change) -> Fields | None:
    """Return the fields from before a change; ``None`` on a conflict."""
    entity = record.configuration.find(change.subject)
    if (entity is None) != (change.action is Action.DELETE):
        return None
    fields = dict(entity.fields) if entity else {}
    for entry in change.fields:
        if fields.pop(entry.field, None) != entry.after:
            return None
        if entry.before is not None:
            fields[entry.field] = entry.before
    return {} if change.action is Action.CREATE else fields


def _conflict(record: HeadRecord, change: Change) -> StaleRevision:
    changes = record.changes_of(change.subject, change.revision)
    entity = record.configuration.find(change.subject)
    current = record.revision
    if entity is not None:
        current = entity.revision
    return StaleRevision(change.subject, change.revision, current, changes)
