"""Tests of the generator of requests."""

from collections import Counter
from itertools import islice

from carobwalk.model import Address, Rank, ServiceName
from standins.load import LoadPlan, RankMix, TaskGenerator

PLAN = LoadPlan(
    entries=(Address('127.0.0.1', 1), Address('127.0.0.1', 2)),
    mix=(
        RankMix(Rank.LOOKUP, ServiceName('case-registry'), 3),
        RankMix(Rank.MONEY, ServiceName('claims-ledger'), 1),
    ),
)


def _noon() -> int:
    return 1_796_385_600_000_000_000


class TestTaskGenerator:
    def test_seed(self) -> None:
        """The same seed and time give the same requests."""
        first = tuple(islice(TaskGenerator(PLAN, _noon), 100))
        assert first == tuple(islice(TaskGenerator(PLAN, _noon), 100))

    def test_marks(self) -> None:
        """Marks are unique, and retries share the idempotency key."""
        tasks = tuple(islice(TaskGenerator(PLAN), 4000))
        assert len({task.mark for task in tasks}) == len(tasks)
        actions = Counter(
            (task.idempotency_key, task.key)
            for task in tasks
            if task.rank is Rank.MONEY
        )
        repeats = sum(actions.values()) - len(actions)
        assert 5 < repeats * 100 // actions.total() < 15

    def test_skew(self) -> None:
        """A tenth of the keys gets more than half of the requests."""
        keys = Counter(task.key for task in islice(TaskGenerator(PLAN), 4000))
        hottest = sum(count for _, count in keys.most_common(20))
        assert hottest * 2 > keys.total()
