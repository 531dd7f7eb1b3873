"""Check of a write against the record that it replaces."""

from collections.abc import Mapping

from carobwalk.profiles._entity import Entity
from carobwalk.profiles._invariants import require
from carobwalk.profiles.writing._head_record import HeadRecord


def check_step(before: HeadRecord, after: HeadRecord) -> None:
    """Check that a write adds one change and touches its subject alone.

    Args:
        before: Record as it stands in the store.
        after: Record about to be written, before its history is shortened.

    Raises:
        InvariantError: If the write would lose or change anything else.
    """
    after.check()
    subject = str(after.recent[-1].subject)
    require(
        after.revision == before.revision + 1,
        'a write makes the next revision',
    )
    require(
        after.recent[:-1] == before.recent,
        'a write keeps the history before it',
    )
    require(
        _without(before, subject) == _without(after, subject),
        'a write changes its subject alone',
    )


def _without(record: HeadRecord, subject: str) -> Mapping[str, Entity]:
    entities = dict(record.configuration.entities_by_subject)
    entities.pop(subject, None)
    return entities
