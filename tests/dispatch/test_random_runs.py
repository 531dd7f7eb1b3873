"""Randomised runs of the dispatch benchmarks that check their invariants."""

import pytest

from benchmarks import at_most_once, poison

ACTIONS = 2500


class TestActions:
    @pytest.mark.parametrize('seed', [11, 12, 13])
    def test_run_at_most_once(self, seed: int) -> None:
        """Under random faults no action runs twice or is misreported."""
        product = at_most_once.figures(seed, is_naive=False, actions=ACTIONS)
        assert at_most_once.is_safe(product), product
        assert product['actions'] == ACTIONS

    def test_baseline_fails(self) -> None:
        """The naive baseline fails the check under the same faults."""
        naive = at_most_once.figures(11, is_naive=True, actions=ACTIONS)
        assert not at_most_once.is_safe(naive)


class TestPoison:
    def test_crashes_at_most_two_servers(self) -> None:
        """A crashing request costs at most two servers; no other is refused."""
        product = poison.figures(11, is_naive=False)
        assert product['servers_lost'] <= 2 * product['poisons']
        assert product['innocent_quarantined'] == 0
