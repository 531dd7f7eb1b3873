"""Writes that operators request."""

from dataclasses import dataclass

from carobwalk.model import OperatorName
from carobwalk.profiles._change import Action
from carobwalk.profiles._entity import Fields
from carobwalk.profiles._subject import Subject


@dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """A requested change that has not been accepted yet.

    Args:
        subject: Subject to change.
        action: Create, edit, put (create or edit) or delete.
        fields: Complete new fields of the subject; empty for a deletion.
        base_revision: Revision of the configuration that the write is based
            on, for conflict detection.
        write_id: Idempotency key; a repeated write with it has no effect.
        author: Operator who requests the write.
        reason: Operator's reason, for the history.
        reverting: Revisions of other operators that the write declares to
            revert.
    """

    subject: Subject
    action: Action
    fields: Fields
    base_revision: int
    write_id: str
    author: OperatorName
    reason: str
    reverting: frozenset[int] = frozenset()
