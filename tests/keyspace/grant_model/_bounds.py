"""What a coordinator knows about the grants in force."""

from tests.keyspace.grant_model._rules import LONG_GRANTS
from tests.keyspace.grant_model._state import (
    EXTENSION,
    MOST_REPORTS,
    PROVING_REFUSALS,
    TIMEOUT,
    Coordinator,
    Ticks,
    assumed_hold,
    at_index,
)


def is_free(
    coordinator: Coordinator,
    holder: int,
    rules: frozenset[str],
) -> bool:
    """Return whether a server is certain to hold no grant."""
    if coordinator.refusals[holder] >= PROVING_REFUSALS:
        return True
    if coordinator.is_released:
        if 'wait-unanswered' not in rules:
            return True
        unanswered = coordinator.unanswered[holder]
        return not max(unanswered, coordinator.inherited_unanswered)
    if 'wait-hold' not in rules:
        return True
    return not max(coordinator.holds[holder], coordinator.inherited)


def assumed_inherited(rules: frozenset[str]) -> int:
    """Return the bound of unknown grants of a preceding coordinator."""
    if 'inherited' not in rules:
        return 0
    may_be_long = LONG_GRANTS in rules and 'inherited-longest' in rules
    return TIMEOUT + assumed_hold(rules) + may_be_long * EXTENSION


def adopt_report(
    successor: Coordinator,
    predecessor: Coordinator,
    rules: frozenset[str],
) -> Coordinator:
    """Return a successor that received its predecessor's bounds."""
    is_first = successor.reports == MOST_REPORTS
    inherited, inherited_unanswered = 0, 0
    if 'report-inherited' in rules:
        inherited = predecessor.inherited
        inherited_unanswered = predecessor.inherited_unanswered
    repeats = 'release-after-each-report' in rules or is_first
    if repeats and 'release-after-report' in rules:
        successor = without_release(successor)
    if is_first or 'each-report-whole' in rules:
        holds, unanswered = reported(predecessor, rules)
        successor = successor._replace(
            holds=larger(successor.holds, holds),
            unanswered=larger(successor.unanswered, unanswered),
        )
    return successor._replace(
        inherited=min(successor.inherited, inherited),
        inherited_unanswered=min(
            successor.inherited_unanswered, inherited_unanswered
        ),
        reports=successor.reports - 1,
    )


def without_release(successor: Coordinator) -> Coordinator:
    """Return a successor to which no release sent before counts."""
    flight = successor.flight
    return successor._replace(
        is_released=False,
        flight=flight and flight._replace(is_outdated=not flight.is_grant),
    )


def reported(
    predecessor: Coordinator, rules: frozenset[str]
) -> tuple[Ticks, Ticks]:
    """Return the bounds that a predecessor reports: all and unanswered."""
    holds = predecessor.holds
    unanswered = predecessor.unanswered
    if 'report-unanswered' not in rules:
        unanswered = (0, 0)
    flight = predecessor.flight
    if flight and flight.is_grant and 'report-in-flight' in rules:
        known = max(holds[flight.target], flight.bound)
        holds = at_index(holds, flight.target, known)
        unanswered = at_index(unanswered, flight.target, known)
    return holds, unanswered


def larger(first: Ticks, second: Ticks) -> Ticks:
    """Return the larger bound for each server."""
    return (max(first[0], second[0]), max(first[1], second[1]))
