"""What a trial of the configuration's spread sees."""

from dataclasses import dataclass, field

import trio

from benchmarks._config_fleet import Process
from carobwalk.events import Event
from carobwalk.profiles import Action, Change, Configuration, FieldChange
from carobwalk.profiles.replication import ConfigurationInForce

LIMIT_SECONDS = 4
# Changes that count as recent at least.
_RECENT = 128

_Older = tuple[int, str, object]


@dataclass
class Findings:
    """What a trial saw.

    Args:
        accepted: Acceptance time and revision by write id.
        refused: Ids of writes that were refused for certain.
        unknown: Ids of writes whose outcome was not known at first.
        delays: Seconds from acceptance to force, per revision and process.
        late: Revisions that some process had too late, with the process.
        fallen: Processes that put a lower revision in force than before.
        diverged: Revisions that two processes hold differently.
    """

    accepted: dict[str, tuple[float, int]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    unknown: set[str] = field(default_factory=set)
    delays: list[float] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    fallen: list[str] = field(default_factory=list)
    diverged: set[int] = field(default_factory=set)


class Witness:
    """Sees every revision that comes into force, and what is wrong with it."""

    def __init__(self) -> None:
        self.findings = Findings()
        self._highest: dict[str, int] = {}
        self._configurations: dict[int, Configuration] = {}
        self._in_force: dict[str, list[tuple[int, float]]] = {}

    def note(self, process: Process, event: Event) -> None:
        """Check a revision that a process put in force."""
        if not isinstance(event, ConfigurationInForce) or not event.revision:
            return
        name, revision = process.own.name, event.revision
        if revision < self._highest.get(name, 0):
            self.findings.fallen.append(f'{name} {revision}')
        self._highest[name] = max(revision, self._highest.get(name, 0))
        held = process.follower.configuration()
        if self._configurations.setdefault(revision, held) != held:
            self.findings.diverged.add(revision)
        entry = (revision, trio.current_time())
        self._in_force.setdefault(name, []).append(entry)

    def check_spread(
        self,
        process: Process,
        accepted: float,
        revision: int,
    ) -> None:
        """Note how long a process took, once the limit has passed.

        A process that was started or cut off in the meantime is left out.
        """
        if process.stable_since > accepted:
            return
        name = process.own.name
        found = None
        for held, at in reversed(self._in_force.get(name, [])):
            if held < revision:
                break
            found = max(at - accepted, 0)
        if found is None:
            self.findings.late.append(f'{name} {revision}')
        else:
            self.findings.delays.append(found)


class Replay:
    """Naive replay of a history.

    Args:
        history: All accepted changes, oldest first.
    """

    def __init__(self, history: tuple[Change, ...]) -> None:
        self.lost: list[str] = []
        self.reverted: list[str] = []
        self._older: dict[tuple[str, str], list[_Older]] = {}
        self.revisions_by_write: dict[str, int] = {}
        self.entities: dict[str, dict[str, object]] = {}
        for revision, change in enumerate(history, start=1):
            known = change.write_id in self.revisions_by_write
            if change.revision != revision or known:
                self.lost.append(f'revision {revision} is lost or doubled')
            self.revisions_by_write[change.write_id] = revision
            self._apply(change)

    def check(self, findings: Findings, held: Configuration) -> None:
        """Add what is wrong with a trial to the faults of the history.

        Args:
            findings: What the trial saw.
            held: Configuration that a process has in force at the end.
        """
        self.lost.extend(
            f'accepted write {write_id} is lost'
            for write_id, (_, revision) in findings.accepted.items()
            if self.revisions_by_write.get(write_id) != revision
        )
        self.lost.extend(
            f'refused write {write_id} took effect'
            for write_id in sorted(findings.refused)
            if write_id in self.revisions_by_write
        )
        expected = {
            subject: dict(entity.fields)
            for subject, entity in held.entities_by_subject.items()
        }
        if expected != self.entities:
            self.lost.append('the replay differs from what is in force')

    def _apply(self, change: Change) -> None:
        subject = str(change.subject)
        fields = self.entities.pop(subject, {})
        for entry in change.fields:
            if fields.pop(entry.field, None) != entry.before:
                detail = f'{subject} was undone before {change.revision}'
                self.reverted.append(detail)
            self._check_field(change, entry)
            if entry.after is not None:
                fields[entry.field] = entry.after
        if change.action is not Action.DELETE:
            self.entities[subject] = fields

    def _check_field(self, change: Change, entry: FieldChange) -> None:
        """Look for a quiet return to a value from before others' changes."""
        place = (str(change.subject), entry.field)
        older = self._older.setdefault(place, [])
        authors = {change.author}
        for revision, author, before in reversed(older):
            if revision <= change.revision - _RECENT:
                break
            authors.add(author)
            if before == entry.after:
                self._note_return(change, place, authors)
                break
        older.append((change.revision, change.author, entry.before))

    def _note_return(
        self,
        change: Change,
        place: tuple[str, str],
        authors: set[str],
    ) -> None:
        if len(authors) > 1 and not change.reverted:
            detail = f'{place} was set back by {change.revision}'
            self.reverted.append(detail)
