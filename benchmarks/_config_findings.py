"""Observations and checks of a configuration trial."""

from dataclasses import dataclass, field

import trio

from benchmarks._config_fleet import Process
from carobwalk.events import Event
from carobwalk.profiles import Action, Change, Configuration, FieldChange
from carobwalk.profiles.replication import ConfigurationInForce

LIMIT_SECONDS = 4
# Lower bound on the number of changes that the product treats as recent.
_RECENT_REVISIONS = 128

_PreviousValue = tuple[int, str, object]


@dataclass
class Findings:
    """Observations of a trial.

    Args:
        accepted: Acceptance time in seconds and revision by write id.
        refused: Ids of writes that were certainly refused.
        unknown: Ids of writes whose outcome was unknown at first.
        delays: Seconds from acceptance until in force, per revision and
            process.
        late: Processes and revisions that were in force too late.
        fallen: Processes that put a lower revision in force than before.
        diverged: Revisions whose content differs between processes.
    """

    accepted: dict[str, tuple[float, int]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    unknown: set[str] = field(default_factory=set)
    delays: list[float] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    fallen: list[str] = field(default_factory=list)
    diverged: set[int] = field(default_factory=set)


class ConfigurationMonitor:
    """Checks every revision that a process puts in force."""

    def __init__(self) -> None:
        self.findings = Findings()
        self._highest: dict[str, int] = {}
        self._configurations: dict[int, Configuration] = {}
        self._in_force: dict[str, list[tuple[int, float]]] = {}

    def record_event(self, process: Process, event: Event) -> None:
        """Check a revision that a process put in force; ignore other events."""
        if not isinstance(event, ConfigurationInForce) or not event.revision:
            return
        name, revision = process.own.name, event.revision
        if revision < self._highest.get(name, 0):
            self.findings.fallen.append(f'{name} {revision}')
        self._highest[name] = max(revision, self._highest.get(name, 0))
        configuration = process.follower.configuration()
        if (
            self._configurations.setdefault(revision, configuration)
            != configuration
        ):
            self.findings.diverged.add(revision)
        entry = (revision, trio.current_time())
        self._in_force.setdefault(name, []).append(entry)

    def check_spread(
        self,
        process: Process,
        accepted: float,
        revision: int,
    ) -> None:
        """Record the delay of an accepted revision at a process.

        To be called once the limit has passed. A process that was started or
        cut off since the acceptance is skipped.

        Args:
            process: Process to check.
            accepted: Time of acceptance in seconds.
            revision: Accepted revision.
        """
        if process.stable_since > accepted:
            return
        name = process.own.name
        delay = None
        for other, at in reversed(self._in_force.get(name, [])):
            if other < revision:
                break
            delay = max(at - accepted, 0)
        if delay is None:
            self.findings.late.append(f'{name} {revision}')
        else:
            self.findings.delays.append(delay)


class HistoryReplay:
    """Replay of a history that checks each change against the ones before.

    Args:
        history: All accepted changes, oldest first.
    """

    def __init__(self, history: tuple[Change, ...]) -> None:
        self.lost: list[str] = []
        self.reverted: list[str] = []
        self._previous_values: dict[tuple[str, str], list[_PreviousValue]] = {}
        self.revisions_by_write: dict[str, int] = {}
        self.entities: dict[str, dict[str, object]] = {}
        for revision, change in enumerate(history, start=1):
            is_repeated = change.write_id in self.revisions_by_write
            if change.revision != revision or is_repeated:
                self.lost.append(f'revision {revision} is lost or doubled')
            self.revisions_by_write[change.write_id] = revision
            self._apply(change)

    def check(self, findings: Findings, final: Configuration) -> None:
        """Compare the findings of a trial with the history.

        Contradictions are added to ``lost``.

        Args:
            findings: Observations of the trial.
            final: Configuration in force at a process at the end.
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
            for subject, entity in final.entities_by_subject.items()
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
            self._check_for_revert(change, entry)
            if entry.after is not None:
                fields[entry.field] = entry.after
        if change.action is not Action.DELETE:
            self.entities[subject] = fields

    def _check_for_revert(self, change: Change, entry: FieldChange) -> None:
        """Record a change that silently restores a value older than others'."""
        field_key = (str(change.subject), entry.field)
        previous_values = self._previous_values.setdefault(field_key, [])
        authors = {change.author}
        for revision, author, before in reversed(previous_values):
            if revision <= change.revision - _RECENT_REVISIONS:
                break
            authors.add(author)
            if before == entry.after:
                self._record_revert(change, field_key, authors)
                break
        previous_values.append((change.revision, change.author, entry.before))

    def _record_revert(
        self,
        change: Change,
        field_key: tuple[str, str],
        authors: set[str],
    ) -> None:
        if len(authors) > 1 and not change.reverted:
            detail = f'{field_key} was reverted by {change.revision}'
            self.reverted.append(detail)
