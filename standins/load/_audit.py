"""Audit of the responses to callers against the runs on backend servers."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum

from carobwalk.model import FenceToken
from standins.backend import RunRecord, RunState
from standins.load._observation import Observation

_COMMITTED_STATES = frozenset((RunState.COMMITTED, RunState.COMPLETE))


class ViolationKind(StrEnum):
    """Guarantees that an audit checks."""

    RAN_ALTHOUGH_NOT_RUN = 'ran-although-not-run'
    COMPLETE_WITHOUT_RUN = 'complete-without-run'
    ASTRAY = 'astray'
    DOUBLE_RUN = 'double-run'
    TWO_OWNERS = 'two-owners'


@dataclass(frozen=True, slots=True)
class Violation:
    """A guarantee that was violated.

    Args:
        kind: The guarantee.
        subject: Mark, idempotency key, or service and shard.
        detail: Request id or description of the runs.
    """

    kind: ViolationKind
    subject: str
    detail: str


def audit(
    observations: Iterable[Observation],
    records: Iterable[RunRecord],
) -> tuple[Violation, ...]:
    """Return the violated guarantees.

    Args:
        observations: Requests and responses as the callers saw them.
        records: Final records of all runs of all backend servers; their times
            are of a single clock.
    """
    effects = [
        record for record in records if record.state in _COMMITTED_STATES
    ]
    return (
        *_check_answers(observations, effects),
        *_check_double_runs(effects),
        *_check_owners(effects),
    )


def _check_answers(
    observations: Iterable[Observation],
    effects: list[RunRecord],
) -> Iterator[Violation]:
    marks = {record.mark for record in effects}
    actions = {record.idempotency_key for record in effects} - {None}
    for observation in observations:
        has_run = observation.mark in marks
        is_repeat = observation.idempotency_key in actions
        if observation.is_astray:
            yield Violation(
                ViolationKind.ASTRAY, observation.mark, observation.request
            )
        if observation.told == 'not-run' and has_run:
            yield Violation(
                ViolationKind.RAN_ALTHOUGH_NOT_RUN,
                observation.mark,
                observation.request,
            )
        if observation.told == 'complete' and not (has_run or is_repeat):
            yield Violation(
                ViolationKind.COMPLETE_WITHOUT_RUN,
                observation.mark,
                observation.request,
            )


def _check_double_runs(effects: list[RunRecord]) -> Iterator[Violation]:
    runs = Counter(
        record.idempotency_key
        for record in effects
        if record.idempotency_key is not None
    )
    for action, count in runs.items():
        if count > 1:
            yield Violation(
                ViolationKind.DOUBLE_RUN,
                action,
                f'{count} runs',
            )


def _check_owners(effects: list[RunRecord]) -> Iterator[Violation]:
    """Check that a shard moves between servers only with a higher token."""
    effects_by_shard: dict[str, list[RunRecord]] = defaultdict(list)
    for record in effects:
        if record.shard is not None:
            subject = f'{record.service}/{record.shard}'
            effects_by_shard[subject].append(record)
    for subject, runs in effects_by_shard.items():
        runs.sort(key=lambda run: run.committed_at or 0)
        yield from _check_shard(subject, runs)


def _check_shard(subject: str, runs: list[RunRecord]) -> Iterator[Violation]:
    highest_by_server: dict[str, FenceToken] = {}
    for run in runs:
        token = _parse_token(run.token)
        others = {**highest_by_server}
        others.pop(run.server, None)
        highest = max(others.values(), default=None)
        if highest is not None and token <= highest:
            yield Violation(
                ViolationKind.TWO_OWNERS,
                subject,
                f'{run.server} with {run.token} after {highest}',
            )
        known = highest_by_server.get(run.server, token)
        highest_by_server[run.server] = max(known, token)


def _parse_token(text: str | None) -> FenceToken:
    epoch, _, sequence = (text or '0.0').partition('.')
    return FenceToken(int(epoch), int(sequence))
