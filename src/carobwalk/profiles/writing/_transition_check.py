"""Invariants between consecutive head records."""

from collections.abc import Mapping

from carobwalk.profiles._entity import Entity
from carobwalk.profiles._invariants import require
from carobwalk.profiles.writing._head_record import HeadRecord


def check_transition(before: HeadRecord, after: HeadRecord) -> None:
    """Check that a write adds one change and modifies only its subject.

    Args:
        before: Record currently in the store.
        after: Record about to be written, before old changes are archived.

    Raises:
        InvariantError: If the write would lose or modify anything else.
    """
    after.check()
    subject = str(after.recent[-1].subject)
    require(
        after.revision == before.revision + 1,
        'a write must create the next revision',
    )
    require(
        after.recent[:-1] == before.recent,
        'a write must preserve the earlier history',
    )
    require(
        _entities_except(before, subject) == _entities_except(after, subject),
        'a write must modify only its subject',
    )


def _entities_except(record: HeadRecord, subject: str) -> Mapping[str, Entity]:
    entities = dict(record.configuration.entities_by_subject)
    entities.pop(subject, None)
    return entities
