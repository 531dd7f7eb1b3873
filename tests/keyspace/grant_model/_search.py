"""Breadth-first search of the model."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from tests.keyspace.grant_model._orders import decisions
from tests.keyspace.grant_model._outcomes import outcomes
from tests.keyspace.grant_model._resignation import resignations
from tests.keyspace.grant_model._restarts import restarts
from tests.keyspace.grant_model._rules import FIRST_RECORD
from tests.keyspace.grant_model._state import (
    State,
    Step,
    initial_state,
    state_without_record,
)
from tests.keyspace.grant_model._succession import successions
from tests.keyspace.grant_model._time import ticks

# The last term is long enough for its coordinator to wait for all inherited
# grants, and to send grants itself.
TWO_TERMS = (1, 5)
THREE_TERMS = (1, 1, 5)
# The second coordinator's lease ends at once, so that grants of the first one
# may arrive after the third has been elected.
SHORT_SECOND_TERM = (1, 0, 5)
# Long grants take longer to wait for.
LONG_TERMS = (1, 7)
# The first coordinator may give up a grant before it resigns.
RESIGNATION_TERMS = (2, 5)


class Found(NamedTuple):
    """Result of a search.

    Args:
        states: Number of different states seen.
        is_complete: Whether all reachable states were visited.
        trace: Steps that lead to two owners, ``None`` if there are none.
    """

    states: int
    is_complete: bool
    trace: list[str] | None


def steps(
    state: State, rules: frozenset[str], terms: tuple[int, ...]
) -> Iterator[Step]:
    """Yield all possible next steps."""
    yield from ticks(state, rules)
    yield from successions(state, rules, terms)
    yield from restarts(state, rules)
    yield from resignations(state, rules)
    for number, _ in enumerate(state.coordinators):
        yield from outcomes(state, number, rules)
        yield from decisions(state, number, rules)


def search(
    rules: frozenset[str],
    limit: int,
    terms: tuple[int, ...] = TWO_TERMS,
) -> Found:
    """Search the states breadth first for two simultaneous owners.

    Args:
        rules: Rules that are enabled.
        limit: Maximum number of states to see.
        terms: Ticks of the terms of the successive coordinators.
    """
    begin = state_without_record if FIRST_RECORD in rules else initial_state
    first = begin(terms[0])
    parents: dict[State, tuple[State, str] | None] = {first: None}
    queue = deque([first])
    while queue and len(parents) < limit:
        state = queue.popleft()
        for label, following in steps(state, rules, terms):
            if following not in parents:
                parents[following] = (state, label)
                queue.append(following)
                if all(server.left for server in following.servers):
                    found = trace(parents, following)
                    return Found(len(parents), False, found)
    return Found(len(parents), not queue, None)


def trace(parents: dict, state: State) -> list[str]:
    """Return the labels of the steps that lead to a state."""
    labels = []
    while parents[state]:
        state, label = parents[state]
        labels.append(label)
    labels.reverse()
    return labels
