"""Exhaustive search of the model of time-limited grants."""

import pytest

from tests.keyspace.grant_model import RULES, search

_LIMIT = 100_000


class TestGrantModel:
    def test_all_rules(self) -> None:
        """With all rules enabled no sequence of events gives two owners."""
        states, found = search(RULES, _LIMIT)
        assert found is None
        assert 1000 < states < _LIMIT

    @pytest.mark.parametrize('rule', sorted(RULES))
    def test_one_rule_disabled(self, rule: str) -> None:
        """Disabling any single rule allows two owners."""
        _, found = search(RULES - {rule}, _LIMIT)
        assert found
