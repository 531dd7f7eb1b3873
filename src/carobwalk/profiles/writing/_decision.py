"""Decision on a proposal, given the record as it stands."""

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from carobwalk.profiles._change import (
    Action,
    Change,
    FieldChange,
    compare_fields,
)
from carobwalk.profiles._configuration import Configuration
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
from carobwalk.profiles._use import find_use
from carobwalk.profiles._validation import validate
from carobwalk.profiles.writing._head_record import HeadRecord
from carobwalk.profiles.writing._proposal import Proposal
from carobwalk.profiles.writing._reverts import collect_reverted


@dataclass(frozen=True, slots=True)
class Decision:
    """An accepted proposal.

    Args:
        record: Record to be written; the present one if nothing changes.
        revision: Revision at which the proposal is in the configuration.
        change: Entry of the history; ``None`` if nothing changes.
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
    """Return the record that a proposal leads to, or why it is refused.

    Args:
        record: Record as it stands in the store.
        proposal: The write that is asked for.
        policies: Names of policies that fields may hold.
        at: Time in seconds since 1970, for the history.
    """
    applied = _find_applied(record, proposal)
    if applied is not None:
        return applied
    entity = record.configuration.find(proposal.subject)
    obstacle = _check_base(record, entity, proposal) or _check_presence(
        record.configuration,
        entity,
        proposal,
    )
    if obstacle is not None:
        return Err(obstacle)
    present = entity.fields if entity else {}
    fields = compare_fields(present, proposal.fields)
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
        # An absent subject may have been created and deleted before the
        # oldest change that is known, so an older base proves nothing.
        last_revision = record.first_recent - 1
    if base < last_revision:
        return StaleRevision(proposal.subject, base, last_revision, changes)
    return None


def _check_presence(
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
        return find_use(configuration, proposal.subject)
    return None


def _change(
    record: HeadRecord,
    proposal: Proposal,
    at: float,
    fields: tuple[FieldChange, ...],
) -> Change:
    action = proposal.action
    if action is Action.PUT:
        present = record.configuration.find(proposal.subject) is not None
        action = Action.EDIT if present else Action.CREATE
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
    # Faults that were there before, after an upgrade of the rules, must not
    # keep operators from mending them one by one.
    known = set(map(repr, validate(record.configuration, policies)))
    problems = tuple(
        problem
        for problem in validate(configuration, policies)
        if repr(problem) not in known
    )
    if problems:
        return Err(Invalid(problems))
    history = record.changes_of(change.subject, after=0)
    reverted = collect_reverted(history, change)
    unstated = tuple(
        other for other in reverted if other.revision not in proposal.reverting
    )
    if unstated:
        return Err(RevertsAnother(unstated))
    change = replace(
        change,
        reverted=tuple(other.revision for other in reverted),
    )
    recent = (*record.recent, change)
    return Ok(
        Decision(HeadRecord(configuration, recent), change.revision, change)
    )
