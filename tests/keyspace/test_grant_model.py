"""Exhaustive search of the model of time-limited grants."""

import pytest

from tests.keyspace.grant_model import (
    RULES,
    THREE_TERMS,
    TWO_TERMS,
    search,
)

# Most states that are searched here; complete searches are run by hand.
_LIMIT = 150_000
# Rules that matter only after two successions.
_THIRD_TERM_RULES = frozenset(('report-inherited',))


class TestGrantModel:
    @pytest.mark.parametrize('terms', (TWO_TERMS, THREE_TERMS))
    def test_all_rules(self, terms: tuple[int, ...]) -> None:
        """With all rules enabled no sequence of events gives two owners."""
        found = search(RULES, _LIMIT, terms)
        assert found.trace is None
        assert found.states >= _LIMIT

    @pytest.mark.parametrize('rule', sorted(RULES))
    def test_one_rule_disabled(self, rule: str) -> None:
        """Disabling any single rule allows two owners."""
        terms = THREE_TERMS if rule in _THIRD_TERM_RULES else TWO_TERMS
        assert search(RULES - {rule}, _LIMIT, terms).trace
