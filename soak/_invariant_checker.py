"""Checks of the guarantees to callers and backend servers."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

import trio

from soak._answer_record import AnswerRecord

_MAX_REPORTS_PER_KIND = 3


@dataclass(slots=True)
class InvariantChecker:
    """Records runs, refusals and fences, and reports violations.

    Args:
        runs_by_id: Number of runs of each request, on all servers.
        refused_ids: Requests reported to their callers as not run.
        at_most_once_ids: Requests that must not run more than once.
        answers_by_status: Responses to callers by status.
        answers_by_router: Responses to callers by the name of the router.
        faults: Injected faults by kind.
        violations: A line for each reported violation.
    """

    runs_by_id: Counter[str] = field(default_factory=Counter)
    refused_ids: set[str] = field(default_factory=set)
    at_most_once_ids: set[str] = field(default_factory=set)
    answers_by_status: Counter[str] = field(default_factory=Counter)
    answers_by_router: dict[str, list[AnswerRecord]] = field(
        default_factory=lambda: defaultdict(list),
    )
    faults: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    _owners_by_fence: dict[tuple[int, int], str] = field(default_factory=dict)
    _fences_by_key: dict[int, dict[str, int]] = field(
        default_factory=lambda: defaultdict(dict),
    )
    _counts_by_kind: dict[str, int] = field(
        default_factory=lambda: defaultdict(int),
    )

    def record_violation(self, guarantee: str, detail: str) -> None:
        """Record a violation; only the first three of a kind are reported."""
        self._counts_by_kind[guarantee] += 1
        if self._counts_by_kind[guarantee] <= _MAX_REPORTS_PER_KIND:
            now = trio.current_time()
            self.violations.append(f'{now:.3f} {guarantee}: {detail}')

    def record_answer(self, answer: AnswerRecord) -> None:
        """Record a response that a caller received."""
        self.answers_by_status[str(answer.status)] += 1
        self.answers_by_router[answer.router].append(answer)

    def record_run(self, request: str, server: str) -> None:
        """Record that a server starts to run a request."""
        self.runs_by_id[request] += 1
        if request in self.refused_ids:
            self.record_violation('refused, but ran', f'{request} at {server}')
        runs = self.runs_by_id[request]
        if request in self.at_most_once_ids and runs > 1:
            self.record_violation('ran twice', f'{request} at {server}')

    def record_refusal(self, request: str, router: str) -> None:
        """Record that a request was reported to its caller as not run."""
        self.refused_ids.add(request)
        if self.runs_by_id[request]:
            self.record_violation('ran, but refused', f'{request} by {router}')

    def record_fence(self, key: int, fence: int, incarnation: str) -> None:
        """Record that an incarnation of a server accepted a grant of a key."""
        owner = self._owners_by_fence.setdefault((key, fence), incarnation)
        if owner != incarnation:
            detail = f'key {key} fence {fence}: {owner} and {incarnation}'
            self.record_violation('one fence for two owners', detail)

    def record_taken(self, key: int, fence: int, incarnation: str) -> None:
        """Record that a grant of a key came into force at an incarnation."""
        fences = self._fences_by_key[key]
        for other, highest in fences.items():
            if other != incarnation and fence <= highest:
                detail = (
                    f'key {key}: fence {fence} at {incarnation}, '
                    f'{highest} at {other} before'
                )
                self.record_violation('fence not above earlier owners', detail)
        fences[incarnation] = max(fence, fences.get(incarnation, 0))
