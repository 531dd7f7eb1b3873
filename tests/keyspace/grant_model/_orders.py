"""Sending of orders in the model."""

from collections.abc import Iterator

from tests.keyspace.grant_model._bounds import is_free
from tests.keyspace.grant_model._first_record import first_records
from tests.keyspace.grant_model._rules import LONG_GRANTS
from tests.keyspace.grant_model._state import (
    DOUBTFUL_TERM,
    EXTENSION,
    NOBODY,
    TIMEOUT,
    Coordinator,
    Flight,
    State,
    Step,
    at_index,
    sent_bound,
    with_coordinator,
    with_server,
)


def decisions(
    state: State, number: int, rules: frozenset[str]
) -> Iterator[Step]:
    """Yield what a coordinator may do without waiting for an order."""
    coordinator = state.coordinators[number]
    if coordinator.flight:
        return
    if coordinator.prepared != NOBODY:
        yield (
            f'{number} sends a prepared grant to {coordinator.prepared}',
            send_grant(state, number, coordinator.prepared, rules),
        )
    if not coordinator.term and 'term' in rules:
        return
    if coordinator.owner == NOBODY:
        yield from first_records(state, number, rules)
        return
    if coordinator.is_moving:
        yield from transfers(state, number, rules)
        return
    yield from grants(state, number, coordinator.owner, rules)
    yield from moves(state, number, rules)
    yield from confirmations(state, number)


def grants(
    state: State, number: int, target: int, rules: frozenset[str]
) -> Iterator[Step]:
    """Yield the sending of a grant, and its preparation."""
    yield (
        f'{number} sends a grant to {target}',
        send_grant(state, number, target, rules),
    )
    coordinator = state.coordinators[number]
    if LONG_GRANTS in rules and coordinator.term <= DOUBTFUL_TERM:
        yield (
            f'{number} sends a long grant to {target}',
            send_grant(state, number, target, rules, EXTENSION),
        )
    is_idle = coordinator.prepared == NOBODY
    if is_idle and 'freeze-check-before-send' not in rules:
        yield (
            f'{number} prepares a grant to {target}',
            with_coordinator(
                state, number, coordinator._replace(prepared=target)
            ),
        )


def send_grant(
    state: State,
    number: int,
    target: int,
    rules: frozenset[str],
    extra: int = 0,
) -> State:
    """Return the state after a grant was sent."""
    coordinator = state.coordinators[number]
    bound = sent_bound(rules, extra)
    if 'retract-keeps-inherited' in rules:
        flight = Flight(target, True, TIMEOUT, bound, extra=extra)
        sent = coordinator._replace(flight=flight, prepared=NOBODY)
        return with_coordinator(state, number, sent)
    saved = coordinator.holds[target]
    flight = Flight(target, True, TIMEOUT, bound, saved, extra)
    sent = coordinator._replace(
        flight=flight,
        prepared=NOBODY,
        holds=at_index(coordinator.holds, target, max(saved, bound)),
    )
    return with_coordinator(state, number, sent)


def transfers(
    state: State, number: int, rules: frozenset[str]
) -> Iterator[Step]:
    """Yield the orders of a move: the release and the first grant."""
    coordinator = state.coordinators[number]
    holder = 1 - coordinator.owner
    is_restarted = state.servers[holder].is_restarted
    if is_restarted or is_free(coordinator, holder, rules):
        yield from grants(state, number, coordinator.owner, rules)
    if not coordinator.is_released:
        flight = Flight(holder, False, TIMEOUT)
        sent = coordinator._replace(flight=flight)
        yield (
            f'{number} sends a release to {holder}',
            with_coordinator(state, number, sent),
        )


def moves(state: State, number: int, rules: frozenset[str]) -> Iterator[Step]:
    """Yield the decision to assign the keys to the other server."""
    coordinator = state.coordinators[number]
    target = 1 - coordinator.owner
    moved = moving_to(coordinator, target)
    server = state.servers[target]._replace(is_restarted=False)
    decided = with_server(
        with_coordinator(state, number, moved), target, server
    )
    label = f'{number} assigns the keys to {target}'
    if 'record' not in rules:
        yield f'{label} without a record', decided
        return
    if number != len(state.coordinators) - 1:
        return
    is_moving = 'record-previous' in rules
    yield (
        label,
        decided._replace(recorded=target, is_moving=is_moving, writer=number),
    )
    if 'guarded-write' not in rules and state.late_write == NOBODY:
        late = state._replace(late_write=target)
        yield f'{number} records {target}, to be done late', late


def moving_to(coordinator: Coordinator, target: int) -> Coordinator:
    """Return a coordinator that begins a move."""
    return coordinator._replace(
        owner=target,
        is_moving=True,
        is_released=False,
    )


def confirmations(state: State, number: int) -> Iterator[Step]:
    """Yield the record of an accepted grant."""
    if state.is_moving and number == len(state.coordinators) - 1:
        yield (
            f'{number} records that the grant was accepted',
            state._replace(is_moving=False),
        )
