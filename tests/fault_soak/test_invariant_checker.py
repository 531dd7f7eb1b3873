"""Tests that each check of the soak detects its violation."""

import trio

from soak._invariant_checker import InvariantChecker


def _violations_of(scenario) -> list[str]:
    """Return the guarantees that a scenario violates."""
    checker = InvariantChecker()

    async def body() -> None:
        scenario(checker)

    trio.run(body)
    return [
        line.split(maxsplit=1)[1].split(':')[0] for line in checker.violations
    ]


class TestInvariantChecker:
    def test_no_violation(self) -> None:
        """A read may run twice, and a request that never ran may be refused."""

        def scenario(checker: InvariantChecker) -> None:
            checker.at_most_once_ids.add('w')
            for request in ('r', 'r', 'w'):
                checker.record_run(request, 's1')
            checker.record_refusal('x', 'p1')
            checker.record_fence(5, 1, 's1@1')
            checker.record_fence(5, 1, 's1@1')
            checker.record_fence(5, 2, 's2@1')

        assert not _violations_of(scenario)

    def test_write_ran_twice(self) -> None:
        """A non-idempotent request that runs at two servers is a violation."""

        def scenario(checker: InvariantChecker) -> None:
            checker.at_most_once_ids.add('w')
            checker.record_run('w', 's1')
            checker.record_run('w', 's2')

        assert _violations_of(scenario) == ['ran twice']

    def test_false_refusals(self) -> None:
        """A request reported as 'not run' must not run before or after."""

        def scenario(checker: InvariantChecker) -> None:
            checker.record_run('a', 's1')
            checker.record_refusal('a', 'p1')
            checker.record_refusal('b', 'p1')
            checker.record_run('b', 's1')

        assert _violations_of(scenario) == [
            'ran, but refused',
            'refused, but ran',
        ]

    def test_one_fence_for_two_owners(self) -> None:
        """Two incarnations with the same fence for a key are a violation."""

        def scenario(checker: InvariantChecker) -> None:
            checker.record_fence(5, 1, 's1@1')
            checker.record_fence(5, 1, 's1@2')

        assert _violations_of(scenario) == ['one fence for two owners']

    def test_reports_are_limited(self) -> None:
        """Only the first three violations of a kind are reported."""

        def scenario(checker: InvariantChecker) -> None:
            for number in range(9):
                checker.record_violation('kind', str(number))

        assert _violations_of(scenario) == ['kind', 'kind', 'kind']
