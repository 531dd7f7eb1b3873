"""Exhaustive search of the model of time-limited grants."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import pytest

from tests.keyspace.grant_model import (
    ALL_RULES,
    CALM,
    FIRST_RECORD,
    FIRST_RECORD_RULES,
    LONG_GRANT_RULES,
    LONG_GRANTS,
    LONG_TERMS,
    RESIGNATION,
    RESIGNATION_RULES,
    RESIGNATION_TERMS,
    RULES,
    SHORT_SECOND_TERM,
    THREE_TERMS,
    TWO_TERMS,
    search,
)

# Most states that are searched here; complete searches are run by hand.
_LIMIT: Final = 150_000
# Rules that matter only after two successions.
_THREE_TERMS_BY_RULE: Final[Mapping[str, tuple[int, ...]]] = MappingProxyType(
    {
        'report-inherited': THREE_TERMS,
        'each-report-whole': THREE_TERMS,
        'release-after-each-report': SHORT_SECOND_TERM,
        'settled-inherited': THREE_TERMS,
        'claim-unsettles': THREE_TERMS,
    },
)
# The shortest trace without the release after a second report is long.
_THREE_TERMS_LIMIT: Final = 300_000
# Second reports add states before the traces without these rules.
_RESIGNATION_LIMITS_BY_RULE: Final[Mapping[str, int]] = MappingProxyType(
    {'settled-inherited': 200_000, 'settled-unanswered': 200_000},
)
# Rules whose traces need no restarts and no late orders.
_CALM_RULES: Final = frozenset(
    ('longest-bound', 'settled-inherited', 'claim-unsettles', 'own-record')
)


class TestGrantModel:
    @pytest.mark.parametrize(
        ('terms', 'abilities'),
        (
            (TWO_TERMS, ()),
            (THREE_TERMS, ()),
            (SHORT_SECOND_TERM, ()),
            (LONG_TERMS, (LONG_GRANTS,)),
            (RESIGNATION_TERMS, (RESIGNATION,)),
            (THREE_TERMS, (FIRST_RECORD,)),
            (THREE_TERMS, (FIRST_RECORD, CALM)),
        ),
    )
    def test_all_rules(
        self, terms: tuple[int, ...], abilities: tuple[str, ...]
    ) -> None:
        """With all rules enabled no sequence of events gives two owners."""
        found = search(ALL_RULES.union(abilities), _LIMIT, terms)
        assert found.trace is None
        assert found.states >= _LIMIT

    @pytest.mark.parametrize('rule', sorted(RULES - set(_THREE_TERMS_BY_RULE)))
    def test_one_rule_disabled(self, rule: str) -> None:
        """Disabling any single rule allows two owners."""
        assert search(ALL_RULES - {rule}, _LIMIT, TWO_TERMS).trace

    @pytest.mark.parametrize(
        'rule', sorted(RULES.intersection(_THREE_TERMS_BY_RULE))
    )
    def test_rule_of_three_terms_disabled(self, rule: str) -> None:
        """Disabling a rule on two successions allows two owners."""
        terms = _THREE_TERMS_BY_RULE[rule]
        assert search(ALL_RULES - {rule}, _THREE_TERMS_LIMIT, terms).trace

    @pytest.mark.parametrize('rule', sorted(LONG_GRANT_RULES))
    def test_long_grant_rule_disabled(self, rule: str) -> None:
        """The same holds for the rules of grants of two lengths."""
        found = search(_broken(rule, LONG_GRANTS), _LIMIT, LONG_TERMS)
        assert found.trace

    @pytest.mark.parametrize('rule', sorted(RESIGNATION_RULES))
    def test_resignation_rule_disabled(self, rule: str) -> None:
        """The same holds for the rules of resignations."""
        terms = _THREE_TERMS_BY_RULE.get(rule, RESIGNATION_TERMS)
        limit = _RESIGNATION_LIMITS_BY_RULE.get(rule, _LIMIT)
        assert search(_broken(rule, RESIGNATION), limit, terms).trace

    @pytest.mark.parametrize('rule', sorted(FIRST_RECORD_RULES))
    def test_first_record_rule_disabled(self, rule: str) -> None:
        """The same holds for the rules of the time before the first record."""
        found = search(_broken(rule, FIRST_RECORD), _LIMIT, THREE_TERMS)
        assert found.trace


def _broken(rule: str, ability: str) -> frozenset[str]:
    """Return all rules but one, with an ability of coordinators."""
    calm = (CALM,) if rule in _CALM_RULES else ()
    return (ALL_RULES - {rule}).union((ability, *calm))
