"""A write that an operator asks for."""

from dataclasses import dataclass

from carobwalk.model import OperatorName
from carobwalk.profiles._change import Action
from carobwalk.profiles._entity import Fields
from carobwalk.profiles._subject import Subject


@dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """A change not yet accepted.

    Args:
        subject: What to change.
        action: Create, edit, put (either) or delete.
        fields: All fields that are to be set; empty for a deletion.
        base_revision: Revision of the configuration that the writer saw.
        write_id: Identity of the write; a repeat with it changes nothing.
        author: Operator who asks.
        reason: Why, in the operator's words.
        reverting: Others' revisions that the writer knowingly takes back.
    """

    subject: Subject
    action: Action
    fields: Fields
    base_revision: int
    write_id: str
    author: OperatorName
    reason: str
    reverting: frozenset[int] = frozenset()
