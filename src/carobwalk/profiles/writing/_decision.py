"""Acceptance or rejection of a proposal, given the head record."""

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from carobwalk.profiles._change import (
    Action,
    Change,
    FieldChange,
    compare_fields,
)
from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._dependents import find_dependents
from carobwalk.profiles._entity import Entity
from carobwalk.profiles._failures import (
    AlreadyExists,
    Invalid,
    NotFound,
    RevertsAnother,
    StaleRevision,
)
from carobwalk.profiles._policies import Policies
from carobwalk.profiles._store_failures import (
    ConfigurationFailure,
    StoreBehind,
    WriteIdTaken,
)
from carobwalk.profiles._validation import validate
from carobwalk.profiles.writing._head_record import HeadRecord
from carobwalk.profiles.writing._proposal import Proposal
from carobwalk.profiles.writing._reverts import collect_reverted


@dataclass(frozen=True, slots=True)
class Decision:
    """An accepted proposal.

    Args:
        record: Head record to write; the current one if nothing changes.
        revision: Revision that includes the proposal.
        change: History entry; ``None`` if nothing changes or the entry is no
            longer in the head record.
    """

    record: HeadRecord
    revision: int
    change: Change | None


def decide(
    record: HeadRecord,
    proposal: Proposal,
    policies: Policies,
    at: float,
) -> Result[Decision, ConfigurationFailure]:
    """Return the record that a proposal results in, or why it is rejected.

    Args:
        record: Head record currently in the store.
        proposal: The requested write.
        policies: Registered policy names that fields may refer to.
        at: Unix time in seconds, for the history.
    """
    applied = _find_applied(record, proposal)
    if applied is not None:
        return applied
    entity = record.configuration.find(proposal.subject)
    refusal = _check_base(record, entity, proposal) or _check_existence(
        record.configuration,
        entity,
        proposal,
    )
    if refusal is not None:
        return Err(refusal)
    current_fields = entity.fields if entity else {}
    fields = compare_fields(current_fields, proposal.fields)
    deletes = proposal.action is Action.DELETE
    if entity and not fields and not deletes:
        return Ok(Decision(record, entity.revision, None))
    return _accept(
        record, proposal, policies, _change(record, proposal, at, fields)
    )


def _find_applied(
    record: HeadRecord,
    proposal: Proposal,
) -> Result[Decision, ConfigurationFailure] | None:
    change = record.find_write(proposal.write_id)
    if change is None:
        entity = record.configuration.find(proposal.subject)
        if entity is None or entity.write_id != proposal.write_id:
            return None
        return Ok(Decision(record, entity.revision, None))
    own = (change.subject, change.author)
    if own != (proposal.subject, proposal.author):
        return Err(WriteIdTaken(proposal.write_id, change.revision))
    return Ok(Decision(record, change.revision, change))


def _check_base(
    record: HeadRecord,
    entity: Entity | None,
    proposal: Proposal,
) -> ConfigurationFailure | None:
    base = proposal.base_revision
    if base > record.revision:
        return StoreBehind(record.revision, base)
    changes = record.changes_of(proposal.subject, base)
    if entity:
        last_revision = entity.revision
    elif changes:
        last_revision = changes[-1].revision
    else:
        # A missing subject may have been created and deleted before the oldest
        # retained change, so an older base revision does not rule out a
        # conflict.
        last_revision = record.first_recent - 1
    if base < last_revision:
        return StaleRevision(proposal.subject, base, last_revision, changes)
    return None


def _check_existence(
    configuration: Configuration,
    entity: Entity | None,
    proposal: Proposal,
) -> ConfigurationFailure | None:
    if entity is None:
        if proposal.action in {Action.CREATE, Action.PUT}:
            return None
        return NotFound(proposal.subject)
    if proposal.action is Action.CREATE:
        return AlreadyExists(proposal.subject, entity.revision)
    if proposal.action is Action.DELETE:
        return find_dependents(configuration, proposal.subject)
    return None


def _change(
    record: HeadRecord,
    proposal: Proposal,
    at: float,
    fields: tuple[FieldChange, ...],
) -> Change:
    action = proposal.action
    if action is Action.PUT:
        exists = record.configuration.find(proposal.subject) is not None
        action = Action.EDIT if exists else Action.CREATE
    return Change(
        revision=record.revision + 1,
        write_id=proposal.write_id,
        author=proposal.author,
        reason=proposal.reason,
        at=at,
        subject=proposal.subject,
        action=action,
        fields=fields,
    )


def _accept(
    record: HeadRecord,
    proposal: Proposal,
    policies: Policies,
    change: Change,
) -> Result[Decision, ConfigurationFailure]:
    entity = None
    if change.action is not Action.DELETE:
        entity = Entity(proposal.fields, change.revision, change.write_id)
    configuration = record.configuration.replace(change.subject, entity)
    # Problems that already existed, such as after stricter rules of a new
    # release, must not prevent operators from fixing them one at a time.
    existing_problems = set(map(repr, validate(record.configuration, policies)))
    problems = tuple(
        problem
        for problem in validate(configuration, policies)
        if repr(problem) not in existing_problems
    )
    if problems:
        return Err(Invalid(problems))
    history = record.changes_of(change.subject, after=0)
    reverted = collect_reverted(history, change)
    undeclared = tuple(
        other for other in reverted if other.revision not in proposal.reverting
    )
    if undeclared:
        return Err(RevertsAnother(undeclared))
    change = replace(
        change,
        reverted=tuple(other.revision for other in reverted),
    )
    recent = (*record.recent, change)
    return Ok(
        Decision(HeadRecord(configuration, recent), change.revision, change)
    )
