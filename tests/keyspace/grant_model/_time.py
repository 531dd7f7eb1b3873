"""Passing of time in the model."""

from collections.abc import Iterator

from tests.keyspace.grant_model._state import (
    Coordinator,
    Flight,
    Server,
    State,
    Step,
)


def ticks(state: State, rules: frozenset[str]) -> Iterator[Step]:
    """Yield the states one tick later."""
    yield 'a tick passes', tick(state, -1)
    if 'clock-in-freeze' in rules:
        return
    for number, coordinator in enumerate(state.coordinators):
        if coordinator.term:
            yield (
                f'a tick passes while {number} is suspended',
                tick(state, number),
            )


def tick(state: State, suspended: int) -> State:
    """Return the state one tick later.

    Args:
        state: State before.
        suspended: Coordinator whose clock stands still, -1 for none.
    """
    return state._replace(
        servers=tuple(map(advance_server, state.servers)),
        coordinators=tuple(
            advance_coordinator(coordinator, is_suspended=number == suspended)
            for number, coordinator in enumerate(state.coordinators)
        ),
    )


def advance_server(server: Server) -> Server:
    """Return a server one tick later."""
    left = less(server.left)
    if server.late_release == 1:
        left = 0
    late = []
    for apply_in, end_in in server.late:
        if apply_in > 1:
            late.append((apply_in - 1, less(end_in)))
        else:
            left = max(left, end_in - 1)
    return server._replace(
        left=left,
        late=tuple(late),
        late_release=less(server.late_release),
    )


def advance_coordinator(
    coordinator: Coordinator, *, is_suspended: bool
) -> Coordinator:
    """Return a coordinator one tick later."""
    flight = coordinator.flight
    return coordinator._replace(
        lease=less(coordinator.lease),
        term=coordinator.term if is_suspended else less(coordinator.term),
        holds=tuple(map(less, coordinator.holds)),
        unanswered=tuple(map(less, coordinator.unanswered)),
        inherited=less(coordinator.inherited),
        inherited_unanswered=less(coordinator.inherited_unanswered),
        flight=flight and advance_flight(flight),
    )


def advance_flight(flight: Flight) -> Flight:
    """Return an order one tick later.

    A coordinator that was frozen may notice the timeout later. The order does
    not arrive any more by then.
    """
    return flight._replace(
        left=less(flight.left),
        bound=less(flight.bound),
        saved=less(flight.saved),
        is_arrived=flight.is_arrived or not flight.left,
    )


def less(count: int) -> int:
    """Return one tick less, at least 0."""
    return count - 1 if count else 0
