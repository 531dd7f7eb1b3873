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
        yield f'{number} is elected', elect(state, rules, terms[number])
    for asker, coordinator in enumerate(state.coordinators):
        if coordinator.reports:
            asked = coordinator.predecessor
            informed = adopt_report(
                coordinator, state.coordinators[asked], rules
            )
            yield (
                f'{asker} receives the report of {asked}',
                with_coordinator(state, asker, informed),
            )
    if state.late_write != NOBODY:
        yield 'a late write is done', after_late_write(state)


def elect(state: State, rules: frozenset[str], term: int) -> State:
    """Return the state after an election and the claim of the record.

    Without a record there is nothing to claim, and no grants to inherit.
    """
    if state.recorded == NOBODY:
        first = Coordinator(term, term, NOBODY, False)
        return state._replace(coordinators=(*state.coordinators, first))
    bound = assumed_inherited(rules)
    elected = Coordinator(
        term,
        term,
        state.recorded,
        state.is_moving,
        inherited=bound,
        inherited_unanswered=0 if state.is_settled else bound,
        reports=MOST_REPORTS,
        predecessor=state.writer,
    )
    return state._replace(
        coordinators=(*state.coordinators, elected),
        writer=len(state.coordinators),
        is_settled=state.is_settled and 'claim-unsettles' not in rules,
    )


def after_late_write(state: State) -> State:
    """Return the state after a late write.

    That of a first record has no effect if there is a record by then.
    """
    done = state._replace(late_write=NOBODY, late_writer=NOBODY)
    if state.late_writer == NOBODY:
        return done._replace(recorded=state.late_write)
    if state.recorded != NOBODY:
        return done
    return done._replace(recorded=state.late_write, writer=state.late_writer)
