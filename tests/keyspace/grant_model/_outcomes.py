"""Outcomes of orders in the model."""

from collections.abc import Iterator

from tests.keyspace.grant_model._rules import CALM
from tests.keyspace.grant_model._state import (
    LATE,
    PROVING_REFUSALS,
    Coordinator,
    Flight,
    Server,
    State,
    Step,
    Ticks,
    at_index,
    server_hold,
    with_coordinator,
    with_server,
)


def outcomes(
    state: State, number: int, rules: frozenset[str]
) -> Iterator[Step]:
    """Yield what may happen to the order that a coordinator waits for."""
    coordinator = state.coordinators[number]
    flight = coordinator.flight
    if flight is None:
        return
    order = 'grant' if flight.is_grant else 'release'
    name = f'the {order} of {number} to {flight.target}'
    if not flight.is_arrived:
        yield from arrivals(state, number, name, rules)
        if CALM not in rules:
            undone = retracted(coordinator, rules)
            yield (
                f'{name} is not sent',
                with_coordinator(state, number, undone),
            )
    elif flight.is_answerable:
        yield (
            f'{name} is answered',
            with_coordinator(state, number, confirmed(coordinator, rules)),
        )
    if not flight.left:
        yield (
            f'{name} times out',
            with_coordinator(state, number, timed_out(coordinator, rules)),
        )


def arrivals(
    state: State, number: int, name: str, rules: frozenset[str]
) -> Iterator[Step]:
    """Yield the possible arrivals of an order."""
    coordinator = state.coordinators[number]
    flight = coordinator.flight
    server = state.servers[flight.target]
    answerable = flight._replace(is_arrived=True, is_answerable=True)
    effects = [(answerable, 'is applied', applied(server, flight))]
    if CALM not in rules:
        effects.extend(late_effects(server, flight))
    for flight_after, how, server_after in effects:
        arrived = coordinator._replace(flight=flight_after)
        yield (
            f'{name} {how}',
            with_server(
                with_coordinator(state, number, arrived),
                flight.target,
                server_after,
            ),
        )


def late_effects(
    server: Server, flight: Flight
) -> Iterator[tuple[Flight, str, Server]]:
    """Yield the effects of an unanswered order that is applied later."""
    unanswered = flight._replace(is_arrived=True)
    for apply_in in range(1, LATE + flight.extra + 1):
        when = f'{apply_in} ticks later'
        if flight.is_grant and not server.late:
            late = ((apply_in, server_hold(flight)),)
            yield (
                unanswered,
                f'will be applied {when}',
                server._replace(late=late),
            )
            repeated = applied(server, flight)._replace(late=late)
            yield unanswered, f'is applied, and again {when}', repeated
        if not flight.is_grant and not server.late_release:
            yield (
                unanswered,
                f'will be applied {when}',
                server._replace(late_release=apply_in),
            )


def applied(server: Server, flight: Flight) -> Server:
    """Return a server that has applied an order."""
    if not flight.is_grant:
        return server._replace(left=0)
    return server._replace(left=max(server.left, server_hold(flight)))


def confirmed(coordinator: Coordinator, rules: frozenset[str]) -> Coordinator:
    """Return a coordinator whose order was answered."""
    flight = coordinator.flight
    coordinator = coordinator._replace(
        refusals=at_index(coordinator.refusals, flight.target, 0)
    )
    if not flight.is_grant:
        is_released = coordinator.is_released or not flight.is_outdated
        return coordinator._replace(flight=None, is_released=is_released)
    is_first = flight.target == coordinator.owner
    return coordinator._replace(
        flight=None,
        is_moving=coordinator.is_moving and not is_first,
        holds=raised(coordinator.holds, flight, rules),
    )


def timed_out(coordinator: Coordinator, rules: frozenset[str]) -> Coordinator:
    """Return a coordinator that no longer waits for an answer."""
    flight = coordinator.flight
    if not flight.is_grant:
        is_released = 'release-answered' not in rules
        return coordinator._replace(flight=None, is_released=is_released)
    return coordinator._replace(
        flight=None,
        holds=raised(coordinator.holds, flight, rules),
        unanswered=raised(coordinator.unanswered, flight, rules),
    )


def retracted(coordinator: Coordinator, rules: frozenset[str]) -> Coordinator:
    """Return a coordinator whose order was certainly not sent."""
    flight = coordinator.flight
    undone = coordinator._replace(flight=None)
    if 'refusal-is-no-end' not in rules:
        undone = refused(undone, flight.target)
    if not flight.is_grant or 'retract-keeps-inherited' in rules:
        return undone
    holds = at_index(coordinator.holds, flight.target, flight.saved)
    return undone._replace(holds=holds)


def refused(coordinator: Coordinator, target: int) -> Coordinator:
    """Return a coordinator to which a server refused another connection."""
    known = min(coordinator.refusals[target] + 1, PROVING_REFUSALS)
    return coordinator._replace(
        refusals=at_index(coordinator.refusals, target, known)
    )


def raised(bounds: Ticks, flight: Flight, rules: frozenset[str]) -> Ticks:
    """Return the bounds with that of a sent grant."""
    known = bounds[flight.target] if 'longest-bound' in rules else 0
    return at_index(bounds, flight.target, max(known, flight.bound))
