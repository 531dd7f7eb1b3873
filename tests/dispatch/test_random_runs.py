"""Randomised runs; the invariants are asserted within the program."""

import pytest

from benchmarks import at_most_once, poison

ACTIONS = 2500


class TestActions:
    @pytest.mark.parametrize('seed', [11, 12, 13])
    def test_are_never_doubled(self, seed: int) -> None:
        """Under random faults nothing is doubled, lost or told wrongly."""
        product = at_most_once.figures(seed, is_naive=False, actions=ACTIONS)
        assert at_most_once.is_safe(product), product
        assert product['actions'] == ACTIONS

    def test_baseline_fails(self) -> None:
        """The same faults catch the baseline, so the check can fail."""
        naive = at_most_once.figures(11, is_naive=True, actions=ACTIONS)
        assert not at_most_once.is_safe(naive)


class TestPoison:
    def test_takes_two_servers(self) -> None:
        """Each poison takes at most two servers and no innocent is refused."""
        product = poison.figures(11, is_naive=False)
        assert product['servers_lost'] <= 2 * product['poisons']
        assert product['innocent_quarantined'] == 0
