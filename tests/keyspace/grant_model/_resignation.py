"""Resignation of a coordinator in the model."""

from collections.abc import Iterator

from tests.keyspace.grant_model._rules import RESIGNATION
from tests.keyspace.grant_model._state import (
    Coordinator,
    State,
    Step,
    with_coordinator,
)


def resignations(state: State, rules: frozenset[str]) -> Iterator[Step]:
    """Yield the resignation of the latest coordinator.

    It writes the record, and declares there whether all grants are answered.
    """
    number = len(state.coordinators) - 1
    coordinator = state.coordinators[number]
    if RESIGNATION not in rules or not coordinator.term:
        return
    is_settled = may_declare_settled(coordinator, rules)
    resigned = state._replace(is_settled=is_settled)
    label = f'{number} resigns, settled: {is_settled}'
    if 'closed-before-record' in rules:
        yield label, ended(resigned, number)
    elif not state.is_settled:
        yield label, resigned
    if state.is_settled and 'closed-before-record' not in rules:
        yield f'{number} ends its term', ended(state, number)


def may_declare_settled(
    coordinator: Coordinator, rules: frozenset[str]
) -> bool:
    """Return whether a record may say that all grants are answered."""
    ends = []
    if 'settled-unanswered' in rules:
        ends.extend(coordinator.unanswered)
    if 'settled-inherited' in rules:
        ends.append(coordinator.inherited_unanswered)
    flight = coordinator.flight
    if flight and flight.is_grant and 'settled-in-flight' in rules:
        ends.append(flight.bound)
    return not any(ends)


def ended(state: State, number: int) -> State:
    """Return the state after a coordinator ended its term and its lease."""
    coordinator = state.coordinators[number]
    return with_coordinator(
        state, number, coordinator._replace(lease=0, term=0)
    )
