"""The rules of grants that count from arrival, searched breadth first."""

import pytest

from tests.keyspace.grant_model import RULES, search

_LIMIT = 100_000


class TestGrantModel:
    def test_all_rules(self) -> None:
        """With all rules in force no order of events gives two owners."""
        states, found = search(RULES, _LIMIT)
        assert found is None
        assert 1000 < states < _LIMIT

    @pytest.mark.parametrize('rule', sorted(RULES))
    def test_one_rule_broken(self, rule: str) -> None:
        """Without any one rule there is a way to two owners."""
        _, found = search(RULES - {rule}, _LIMIT)
        assert found
