"""Sequential model of the repository of the configuration."""

from dataclasses import dataclass, field
from typing import Any

from carobwalk.profiles import Proposal, SubjectKind
from tests.profiles._proposals import PROFILE, SERVICE

_STALE = 'StaleRevision'

Fields = dict[str, Any]


@dataclass
class _Entry:
    subject: tuple[SubjectKind, str]
    author: str
    write_id: str
    before: Fields | None
    after: Fields | None


@dataclass
class ReferenceModel:
    """Sequential model: a dictionary of entities and a list of changes."""

    entities: dict[tuple[SubjectKind, str], Fields] = field(
        default_factory=dict,
    )
    entries: list[_Entry] = field(default_factory=list)

    def write(self, proposal: Proposal) -> str | int:
        """Apply a proposal; returns its revision or the name of the failure."""
        for revision, entry in enumerate(self.entries, start=1):
            if entry.write_id == proposal.write_id:
                return revision
        subject = (proposal.subject.kind, proposal.subject.name)
        after = None if proposal.action == 'delete' else dict(proposal.fields)
        rejection = self._rejection(proposal, subject, after)
        if rejection:
            return rejection
        before = self.entities.get(subject)
        if before == after:
            return self._last_revision(subject)
        candidate = dict(self.entities)
        candidate.pop(subject, None)
        if after is not None:
            candidate[subject] = after
        if not _is_valid(candidate):
            return 'Invalid'
        if self._has_undeclared_revert(subject, proposal, before, after):
            return 'RevertsAnother'
        self.entities = candidate
        self.entries.append(
            _Entry(subject, proposal.author, proposal.write_id, before, after),
        )
        return len(self.entries)

    def _last_revision(self, subject: tuple[SubjectKind, str]) -> int:
        revisions = [
            revision
            for revision, entry in enumerate(self.entries, start=1)
            if entry.subject == subject
        ]
        return max(revisions, default=0)

    def _rejection(
        self,
        proposal: Proposal,
        subject: tuple[SubjectKind, str],
        after: Fields | None,
    ) -> str | None:
        if self._last_revision(subject) > proposal.base_revision:
            return _STALE
        if after is not None:
            return None
        if subject not in self.entities:
            return 'NotFound'
        if subject[0] is PROFILE and any(
            subject[1] in {fields.get('profile'), fields.get('parent')}
            for fields in self.entities.values()
        ):
            return 'InUse'
        return None

    def _has_undeclared_revert(
        self,
        subject: tuple[SubjectKind, str],
        proposal: Proposal,
        before: Fields | None,
        after: Fields | None,
    ) -> bool:
        old, new = _with_existence(before), _with_existence(after)
        changed = {
            name
            for name in old.keys() | new.keys()
            if old.get(name) != new.get(name)
        }
        return any(
            self._reverts_another(subject, proposal, name, new.get(name))
            for name in changed
        )

    def _reverts_another(
        self,
        subject: tuple[SubjectKind, str],
        proposal: Proposal,
        name: str,
        value: Any,
    ) -> bool:
        authors: set[str] = set()
        for entry in reversed(self.entries):
            old = _with_existence(entry.before).get(name)
            new = _with_existence(entry.after).get(name)
            if entry.subject != subject or old == new:
                continue
            authors.add(entry.author)
            if old == value:
                return bool(authors - {proposal.author})
        return False


def _with_existence(fields: Fields | None) -> Fields:
    return {} if fields is None else {**fields, '': True}


def _is_valid(entities: dict[tuple[SubjectKind, str], Fields]) -> bool:
    return all(
        (PROFILE, fields['profile']) in entities
        if kind is SERVICE
        else _has_valid_ancestry(entities, name)
        for (kind, name), fields in entities.items()
    )


def _has_valid_ancestry(
    entities: dict[tuple[SubjectKind, str], Fields],
    name: str,
) -> bool:
    ancestry = [name]
    while 'parent' in entities[PROFILE, ancestry[-1]]:
        parent = entities[PROFILE, ancestry[-1]]['parent']
        if (PROFILE, parent) not in entities or parent in ancestry:
            return False
        ancestry.append(parent)
    return True
