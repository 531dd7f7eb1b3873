"""Exhaustive search of the model of time-limited grants."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import pytest

from tests.keyspace.grant_model import (
    RULES,
    SHORT_SECOND_TERM,
    THREE_TERMS,
    TWO_TERMS,
    search,
)

# Most states that are searched here; complete searches are run by hand.
_LIMIT = 150_000
# Rules that matter only after two successions.
_THREE_TERMS_BY_RULE: Final[Mapping[str, tuple[int, ...]]] = MappingProxyType(
    {
        'report-inherited': THREE_TERMS,
        'each-report-whole': THREE_TERMS,
        'release-after-each-report': SHORT_SECOND_TERM,
    },
)
# The shortest trace without the release after a second report is long.
_THREE_TERMS_LIMIT = 300_000


class TestGrantModel:
    @pytest.mark.parametrize(
        'terms', (TWO_TERMS, THREE_TERMS, SHORT_SECOND_TERM)
    )
    def test_all_rules(self, terms: tuple[int, ...]) -> None:
        """With all rules enabled no sequence of events gives two owners."""
        found = search(RULES, _LIMIT, terms)
        assert found.trace is None
        assert found.states >= _LIMIT

    @pytest.mark.parametrize('rule', sorted(RULES - set(_THREE_TERMS_BY_RULE)))
    def test_one_rule_disabled(self, rule: str) -> None:
        """Disabling any single rule allows two owners."""
        assert search(RULES - {rule}, _LIMIT, TWO_TERMS).trace

    @pytest.mark.parametrize('rule', sorted(_THREE_TERMS_BY_RULE))
    def test_rule_of_three_terms_disabled(self, rule: str) -> None:
        """Disabling a rule on two successions allows two owners."""
        terms = _THREE_TERMS_BY_RULE[rule]
        assert search(RULES - {rule}, _THREE_TERMS_LIMIT, terms).trace
