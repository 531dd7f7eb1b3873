"""Exhaustive search of the model of time-limited grants."""

from typing import Final

import pytest

from tests.keyspace.grant_model import (
    ALL_RULES,
    CALM,
    LONG_GRANT_RULES,
    LONG_GRANTS,
    LONG_TERMS,
    RESIGNATION,
    RESIGNATION_RULES,
    RESIGNATION_TERMS,
    RULES,
    THREE_TERMS,
    TWO_TERMS,
    search,
)

# Most states that are searched here; complete searches are run by hand.
_LIMIT: Final = 150_000
# Rules that matter only after two successions.
_THIRD_TERM_RULES: Final = frozenset(
    ('report-inherited', 'settled-inherited', 'claim-unsettles')
)
# Rules whose traces need no restarts and no late orders.
_CALM_RULES: Final = frozenset(
    ('longest-bound', 'settled-inherited', 'claim-unsettles')
)


class TestGrantModel:
    @pytest.mark.parametrize(
        ('terms', 'abilities'),
        (
            (TWO_TERMS, ()),
            (THREE_TERMS, ()),
            (LONG_TERMS, (LONG_GRANTS,)),
            (RESIGNATION_TERMS, (RESIGNATION,)),
        ),
    )
    def test_all_rules(
        self, terms: tuple[int, ...], abilities: tuple[str, ...]
    ) -> None:
        """With all rules enabled no sequence of events gives two owners."""
        found = search(ALL_RULES.union(abilities), _LIMIT, terms)
        assert found.trace is None
        assert found.states >= _LIMIT

    @pytest.mark.parametrize('rule', sorted(RULES))
    def test_one_rule_disabled(self, rule: str) -> None:
        """Disabling any single rule allows two owners."""
        terms = THREE_TERMS if rule in _THIRD_TERM_RULES else TWO_TERMS
        assert search(ALL_RULES - {rule}, _LIMIT, terms).trace

    @pytest.mark.parametrize('rule', sorted(LONG_GRANT_RULES))
    def test_long_grant_rule_disabled(self, rule: str) -> None:
        """The same holds for the rules of grants of two lengths."""
        found = search(_broken(rule, LONG_GRANTS), _LIMIT, LONG_TERMS)
        assert found.trace

    @pytest.mark.parametrize('rule', sorted(RESIGNATION_RULES))
    def test_resignation_rule_disabled(self, rule: str) -> None:
        """The same holds for the rules of resignations."""
        is_third = rule in _THIRD_TERM_RULES
        terms = THREE_TERMS if is_third else RESIGNATION_TERMS
        assert search(_broken(rule, RESIGNATION), _LIMIT, terms).trace


def _broken(rule: str, ability: str) -> frozenset[str]:
    """Return all rules but one, with an ability of coordinators."""
    calm = (CALM,) if rule in _CALM_RULES else ()
    return (ALL_RULES - {rule}).union((ability, *calm))
