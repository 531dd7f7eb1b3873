"""Generator of the random requests of a load."""

import itertools
import random
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import replace
from types import MappingProxyType

from carobwalk.model import Rank
from standins.load._idempotency_key import make_idempotency_key
from standins.load._plan import LoadPlan
from standins.load._rank_mix import RankMix
from standins.load._task import LoadTask

REPEATABLE_ACTIONS = 64

_METHODS = MappingProxyType(
    {Rank.LOOKUP: 'GET', Rank.MONEY: 'POST', Rank.BULK: 'PUT'},
)
_CLAIM_BYTES = 300


class TaskGenerator:
    """Generates the requests of a plan from its seed.

    Retries of a money-bearing action reuse its idempotency key and go to a
    random entry.

    Args:
        plan: The plan.
        now: Returns the time of issue of the idempotency keys, in nanoseconds
            since the Unix epoch.
    """

    def __init__(
        self,
        plan: LoadPlan,
        now: Callable[[], int] = time.time_ns,
    ) -> None:
        self._plan = plan
        self._now = now
        self._random = random.Random(plan.seed)
        self._numbers = itertools.count(1)
        self._actions: deque[LoadTask] = deque(maxlen=REPEATABLE_ACTIONS)
        self._weights = [rank_mix.weight for rank_mix in plan.mix]
        self._key_weights = list(
            itertools.accumulate(
                1 / position**plan.skew for position in range(1, plan.keys + 1)
            ),
        )

    def __iter__(self) -> Iterator[LoadTask]:
        """Yield an infinite sequence of requests."""
        while True:
            yield self.next_task()

    def next_task(self) -> LoadTask:
        """Return the next request."""
        rank_mix = self._random.choices(self._plan.mix, self._weights)[0]
        task = self._new_task(rank_mix)
        if rank_mix.rank is not Rank.MONEY:
            return task
        if self._actions and self._random.random() < self._plan.repeat_share:
            first = self._random.choice(self._actions)
            return replace(first, mark=task.mark, entry=task.entry)
        self._actions.append(task)
        return task

    def next_delay(self) -> float:
        """Return the seconds until the next request of an open loop."""
        return self._random.expovariate(self._plan.rate)

    def _new_task(self, rank_mix: RankMix) -> LoadTask:
        plan = self._plan
        number = next(self._numbers)
        mark = f'{plan.seed}-{number}'
        is_money = rank_mix.rank is Rank.MONEY
        body_bytes = {Rank.MONEY: _CLAIM_BYTES, Rank.BULK: plan.bulk_bytes}
        return LoadTask(
            entry=self._random.choice(plan.entries),
            service=rank_mix.service,
            rank=rank_mix.rank,
            method=_METHODS[rank_mix.rank],
            key=f'key-{self._choose_key()}',
            mark=mark,
            idempotency_key=make_idempotency_key(mark, self._now())
            if is_money
            else None,
            body_bytes=body_bytes.get(rank_mix.rank, 0),
            work_ms=plan.work_ms,
        )

    def _choose_key(self) -> int:
        numbers = range(self._plan.keys)
        return self._random.choices(numbers, cum_weights=self._key_weights)[0]
