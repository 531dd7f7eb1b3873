"""Operators who race each other."""

import itertools
import random
from dataclasses import replace

import trio
from result import Ok, Result

from benchmarks._config_findings import Findings
from benchmarks._config_fleet import Fleet, Process, any_process
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
_FRESH_CHANCE = 0.8
_SERVICE_CHANCE = 0.2
_DELETE_CHANCE = 0.05
_LOST_WRITER_CHANCE = 0.05


class Operators:
    """Make random writes at random processes.

    Args:
        fleet: Processes, store and wire.
        generator: Source of all choices.
        findings: Where the outcomes go.
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

    async def operate(self, author: str, changes: int) -> None:
        """Write as one operator until enough changes were accepted."""
        base = 0
        while len(self._findings.accepted) < changes:
            await trio.sleep(self._generator.uniform(0, 2 * self._pause))
            process = any_process(self._fleet, self._generator)
            if self._generator.random() < _FRESH_CHANCE:
                head = await process.repository.read()
                base = head.ok_value.revision if isinstance(head, Ok) else base
            await self._write_knowingly(process, self._propose(author, base))

    async def _write_knowingly(
        self,
        process: Process,
        proposal: Proposal,
    ) -> None:
        failure = await self._write(process, proposal)
        if isinstance(failure, RevertsAnother):
            stated = frozenset(change.revision for change in failure.changes)
            again = replace(
                proposal,
                write_id=self._next_id(),
                reverting=stated,
            )
            await self._write(process, again)

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
            # The process was lost with the write in its hand.
            self._findings.unknown.add(proposal.write_id)
            return None
        return self._take(process, proposal, written)

    def _take(
        self,
        process: Process,
        proposal: Proposal,
        written: Result[Acceptance, ConfigurationFailure],
    ) -> ConfigurationFailure | None:
        if isinstance(written, Ok):
            self._accept(process, proposal, written.ok_value)
            return None
        if isinstance(written.err_value, OutcomeUnknown):
            self._findings.unknown.add(proposal.write_id)
        else:
            self._findings.refused.add(proposal.write_id)
        return written.err_value

    def _accept(
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
        if self._generator.random() < _LOST_WRITER_CHANCE:
            # The process is lost before it can pass the change on.
            self._fleet.restart(process)

    def _propose(self, author: str, base: int) -> Proposal:
        if self._generator.random() < _SERVICE_CHANCE:
            subject = Subject(SubjectKind.SERVICE, self._choose(_SERVICES))
            fields: dict[str, object] = {'profile': self._choose(_PROFILES)}
        else:
            subject = Subject(SubjectKind.PROFILE, self._choose(_PROFILES))
            fields = self._profile_fields(subject)
        is_profile = subject.kind is SubjectKind.PROFILE
        deletes = is_profile and self._generator.random() < _DELETE_CHANCE
        return Proposal(
            subject=subject,
            action=Action.DELETE if deletes else Action.PUT,
            fields={} if deletes else fields,
            base_revision=base,
            write_id=self._next_id(),
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

    def _choose(self, names: tuple[str, ...]) -> str:
        return self._generator.choice(names)

    def _next_id(self) -> str:
        return f'w{next(self._numbers)}'
