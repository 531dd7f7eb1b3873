"""Elections and reports of the model."""

from collections.abc import Iterator

from tests.keyspace.grant_model._bounds import adopt_report, assumed_inherited
from tests.keyspace.grant_model._state import (
    MOST_REPORTS,
    NOBODY,
    Coordinator,
    State,
    Step,
    with_coordinator,
)


def successions(
    state: State, rules: frozenset[str], terms: tuple[int, ...]
) -> Iterator[Step]:
    """Yield elections, and reports of predecessors to their successors.

    Args:
        state: State before.
        rules: Rules that are enabled.
        terms: Ticks of the terms of the successive coordinators.
    """
    number = len(state.coordinators)
    if number < len(terms) and not state.coordinators[-1].lease:
        bound = assumed_inherited(rules)
        elected = Coordinator(
            terms[number],
            terms[number],
            state.recorded,
            state.is_moving,
            inherited=bound,
            inherited_unanswered=0 if state.is_settled else bound,
            reports=MOST_REPORTS,
        )
        yield (
            f'{number} is elected',
            state._replace(
                coordinators=(*state.coordinators, elected),
                is_settled=state.is_settled and 'claim-unsettles' not in rules,
            ),
        )
    for asker, coordinator in enumerate(state.coordinators):
        if coordinator.reports:
            predecessor = state.coordinators[asker - 1]
            informed = adopt_report(coordinator, predecessor, rules)
            yield (
                f'{asker} receives the report of {asker - 1}',
                with_coordinator(state, asker, informed),
            )
    if state.late_write != NOBODY:
        yield (
            'a late write is done',
            state._replace(recorded=state.late_write, late_write=NOBODY),
        )
