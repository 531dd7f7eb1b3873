"""Tests that each check of the soak can fail."""

import trio

from soak._ledger import Ledger


def _broken(story) -> list[str]:
    """Return the promises that a story breaks."""
    ledger = Ledger()

    async def body() -> None:
        story(ledger)

    trio.run(body)
    return [line.split(maxsplit=1)[1].split(':')[0] for line in ledger.broken]


class TestLedger:
    def test_kept(self) -> None:
        """Reads run twice, and a refused request that never ran, are fine."""

        def story(ledger: Ledger) -> None:
            ledger.at_most_once_ids.add('w')
            for request in ('r', 'r', 'w'):
                ledger.record_run(request, 's1')
            ledger.record_refusal('x', 'p1')
            ledger.record_fence(5, 1, 's1@1')
            ledger.record_fence(5, 1, 's1@1')
            ledger.record_fence(5, 2, 's2@1')

        assert not _broken(story)

    def test_write_ran_twice(self) -> None:
        """A request that may run once ran at two servers."""

        def story(ledger: Ledger) -> None:
            ledger.at_most_once_ids.add('w')
            ledger.record_run('w', 's1')
            ledger.record_run('w', 's2')

        assert _broken(story) == ['ran twice']

    def test_false_refusals(self) -> None:
        """A request that was called 'not run' ran before or after that."""

        def story(ledger: Ledger) -> None:
            ledger.record_run('a', 's1')
            ledger.record_refusal('a', 'p1')
            ledger.record_refusal('b', 'p1')
            ledger.record_run('b', 's1')

        assert _broken(story) == ['ran, but refused', 'refused, but ran']

    def test_one_fence_for_two_owners(self) -> None:
        """Two lives of a server took a key with the same fence."""

        def story(ledger: Ledger) -> None:
            ledger.record_fence(5, 1, 's1@1')
            ledger.record_fence(5, 1, 's1@2')

        assert _broken(story) == ['one fence for two owners']

    def test_a_flood_is_told_briefly(self) -> None:
        """Of a kind that breaks often three lines are kept."""

        def story(ledger: Ledger) -> None:
            for number in range(9):
                ledger.break_promise('kind', str(number))

        assert _broken(story) == ['kind', 'kind', 'kind']
