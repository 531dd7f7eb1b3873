"""What the soak has seen, and the promises that it found broken."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

import trio

_TOLD_OF_A_KIND = 3


@dataclass(slots=True)
class Ledger:
    """Runs at backend servers, answers to callers, broken promises.

    Args:
        runs_by_id: Times that servers began to run a request.
        refused_ids: Requests whose callers were told that they never run.
        at_most_once_ids: Requests that may run once only.
        answered: Answers by status.
        faults: Injected faults by kind.
        broken: A line for each broken promise.
    """

    runs_by_id: Counter[str] = field(default_factory=Counter)
    refused_ids: set[str] = field(default_factory=set)
    at_most_once_ids: set[str] = field(default_factory=set)
    answered: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    _lives_by_fence: dict[tuple[int, int], str] = field(default_factory=dict)
    _kinds: dict[str, int] = field(
        default_factory=lambda: defaultdict(int),
    )

    def break_promise(self, promise: str, detail: str) -> None:
        """Note a broken promise; the first few of a kind are told."""
        self._kinds[promise] += 1
        if self._kinds[promise] <= _TOLD_OF_A_KIND:
            now = trio.current_time()
            self.broken.append(f'{now:.3f} {promise}: {detail}')

    def record_run(self, request: str, server: str) -> None:
        """Note that a server begins to run a request."""
        self.runs_by_id[request] += 1
        if request in self.refused_ids:
            self.break_promise('refused, but ran', f'{request} at {server}')
        runs = self.runs_by_id[request]
        if request in self.at_most_once_ids and runs > 1:
            self.break_promise('ran twice', f'{request} at {server}')

    def record_refusal(self, request: str, router: str) -> None:
        """Note that a caller was told that a request never runs."""
        self.refused_ids.add(request)
        if self.runs_by_id[request]:
            self.break_promise('ran, but refused', f'{request} by {router}')

    def record_fence(self, key: int, fence: int, life: str) -> None:
        """Note that a life of a server took a key."""
        known = self._lives_by_fence.setdefault((key, fence), life)
        if known != life:
            detail = f'key {key} fence {fence}: {known} and {life}'
            self.break_promise('one fence for two owners', detail)
