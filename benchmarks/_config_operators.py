"""Operators who change the configuration concurrently."""

import itertools
import random
from dataclasses import replace

import trio
from result import Ok, Result

from benchmarks._config_findings import Findings
from benchmarks._config_fleet import Fleet, Process, choose_process
from carobwalk.model import OperatorName
from carobwalk.profiles import (
    Acceptance,
    Action,
    ConfigurationFailure,
    OutcomeUnknown,
    Proposal,
    RevertsAnother,
    Subject,
    SubjectKind,
)

_PROFILES = ('base', 'filings', 'office', 'spare')
_SERVICES = ('case-registry', 'claims-ledger', 'bundle-intake')
_FRESH_READ_PROBABILITY = 0.8
_SERVICE_PROBABILITY = 0.2
_DELETE_PROBABILITY = 0.05
_LOST_WRITER_PROBABILITY = 0.05


class Operators:
    """Operators who make random writes at random processes.

    Args:
        fleet: Processes, store and network.
        generator: Source of randomness.
        findings: Receives the outcomes of the writes.
        pause: Mean pause between writes of one operator, in seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        generator: random.Random,
        findings: Findings,
        pause: float,
    ) -> None:
        self._fleet = fleet
        self._generator = generator
        self._findings = findings
        self._pause = pause
        self._numbers = itertools.count()

    async def write_changes(self, author: str, changes: int) -> None:
        """Write as one operator until enough changes were accepted.

        Args:
            author: Name of the operator.
            changes: Number of changes accepted from all operators at which to
                stop.
        """
        base = 0
        while len(self._findings.accepted) < changes:
            await trio.sleep(self._generator.uniform(0, 2 * self._pause))
            process = choose_process(self._fleet, self._generator)
            if self._generator.random() < _FRESH_READ_PROBABILITY:
                head = await process.repository.read()
                base = head.ok_value.revision if isinstance(head, Ok) else base
            await self._write_with_stated_reverts(
                process, self._make_proposal(author, base)
            )

    async def _write_with_stated_reverts(
        self,
        process: Process,
        proposal: Proposal,
    ) -> None:
        failure = await self._write(process, proposal)
        if isinstance(failure, RevertsAnother):
            stated = frozenset(change.revision for change in failure.changes)
            confirmed = replace(
                proposal,
                write_id=self._next_write_id(),
                reverting=stated,
            )
            await self._write(process, confirmed)

    async def _write(
        self,
        process: Process,
        proposal: Proposal,
    ) -> ConfigurationFailure | None:
        written = None
        scope = trio.CancelScope()
        process.writes.append(scope)
        with scope:
            written = await process.repository.write(proposal)
        process.writes.remove(scope)
        if written is None:
            # The process was stopped during the write.
            self._findings.unknown.add(proposal.write_id)
            return None
        return self._record_outcome(process, proposal, written)

    def _record_outcome(
        self,
        process: Process,
        proposal: Proposal,
        written: Result[Acceptance, ConfigurationFailure],
    ) -> ConfigurationFailure | None:
        if isinstance(written, Ok):
            self._record_acceptance(process, proposal, written.ok_value)
            return None
        if isinstance(written.err_value, OutcomeUnknown):
            self._findings.unknown.add(proposal.write_id)
        else:
            self._findings.refused.add(proposal.write_id)
        return written.err_value

    def _record_acceptance(
        self,
        process: Process,
        proposal: Proposal,
        acceptance: Acceptance,
    ) -> None:
        if acceptance.change is None:
            return
        entry = (trio.current_time(), acceptance.revision)
        self._findings.accepted[proposal.write_id] = entry
        process.follower.adopt(acceptance.configuration)
        if self._generator.random() < _LOST_WRITER_PROBABILITY:
            # The process stops before it can propagate the change.
            self._fleet.restart(process)

    def _make_proposal(self, author: str, base: int) -> Proposal:
        if self._generator.random() < _SERVICE_PROBABILITY:
            subject = Subject(SubjectKind.SERVICE, self._choose_name(_SERVICES))
            fields: dict[str, object] = {
                'profile': self._choose_name(_PROFILES)
            }
        else:
            subject = Subject(SubjectKind.PROFILE, self._choose_name(_PROFILES))
            fields = self._profile_fields(subject)
        is_profile = subject.kind is SubjectKind.PROFILE
        deletes = is_profile and self._generator.random() < _DELETE_PROBABILITY
        return Proposal(
            subject=subject,
            action=Action.DELETE if deletes else Action.PUT,
            fields={} if deletes else fields,
            base_revision=base,
            write_id=self._next_write_id(),
            author=OperatorName(author),
            reason='a trial',
        )

    def _profile_fields(self, subject: Subject) -> dict[str, object]:
        fields: dict[str, object] = {
            'slots': self._generator.randint(1, 9),
            'queue_length': self._generator.randint(1, 999),
        }
        if subject.name != 'base':
            fields['parent'] = 'base'
        return fields

    def _choose_name(self, names: tuple[str, ...]) -> str:
        return self._generator.choice(names)

    def _next_write_id(self) -> str:
        return f'w{next(self._numbers)}'
