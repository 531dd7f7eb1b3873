"""State of the model. Named tuples, because millions of them are hashed."""

from typing import NamedTuple

# Nominal duration of a grant, in ticks as all times here.
HOLD = 2
# What a grant lasts longer that is sent while the lease is in doubt.
EXTENSION = 2
# Longest rest of a term, by its coordinator's clock, that puts it in doubt.
DOUBTFUL_TERM = 1
# Server 0 has the slowest clock and counts a grant this much longer.
SLOWNESS = 1
# Longest time from the sending of an order to its arrival.
TIMEOUT = 1
# Longest time from the arrival of an unanswered order to its application. A
# grant that is applied later has expired.
LATE = 2
# Refused orders that a coordinator takes for the end of a server's process,
# without the rule 'refusal-is-no-end'.
PROVING_REFUSALS = 2
# Reports that a coordinator may receive from its predecessor, at any time.
MOST_REPORTS = 2

NOBODY = -1
# Server 0 owns the keys in the first record, as its clock is the slowest.
FIRST_OWNER = 0

Ticks = tuple[int, int]


class Server(NamedTuple):
    """State of a backend server.

    Args:
        left: Ticks until its grant expires.
        late: Grants not yet applied, as pairs of the ticks until the grant is
            applied and until it expires.
        late_release: Ticks until a late release is applied, 0 for none.
        is_restarted: Whether it has restarted since it was assigned keys; used
            without the rule 'restart-is-no-release'.
    """

    left: int = 0
    late: tuple[Ticks, ...] = ()
    late_release: int = 0
    is_restarted: bool = False


class Flight(NamedTuple):
    """Order that waits for its answer.

    Args:
        target: Server it is sent to.
        is_grant: Whether it is a grant, not a release.
        left: Ticks until its sender's timeout.
        bound: Ticks until the grant has certainly expired.
        saved: Ticks of the target's bound before it was sent; used without
            the rule 'retract-keeps-inherited'.
        extra: Ticks by which the grant lasts longer than usual.
        is_arrived: Whether it has arrived or was lost.
        is_answerable: Whether it has arrived and may still be answered.
        is_outdated: Whether its answer no longer counts.
    """

    target: int
    is_grant: bool
    left: int
    bound: int = 0
    saved: int = 0
    extra: int = 0
    is_arrived: bool = False
    is_answerable: bool = False
    is_outdated: bool = False


class Coordinator(NamedTuple):
    """State of a coordinator.

    Args:
        lease: Ticks until its lease may expire.
        term: Ticks until it regards its lease as expired.
        owner: Server that it regards as the owner.
        is_moving: Whether the owner's first grant is not yet accepted.
        holds: Ticks until the grants to each server have certainly expired.
        unanswered: The same bounds for unanswered grants only.
        inherited: The same bound for unknown grants of earlier coordinators.
        inherited_unanswered: The same bound for unanswered ones of those.
        is_released: Whether the previous owner answered a release.
        flight: Order that waits for its answer.
        reports: Reports of its predecessor that may still arrive.
        refusals: Refused orders to each server since its last answer; used
            without the rule 'refusal-is-no-end'.
        prepared: Server that a grant is prepared for; used without the rule
            'freeze-check-before-send'.
        predecessor: Coordinator that the record named when it was claimed.
    """

    lease: int
    term: int
    owner: int
    is_moving: bool
    holds: Ticks = (0, 0)
    unanswered: Ticks = (0, 0)
    inherited: int = 0
    inherited_unanswered: int = 0
    is_released: bool = False
    flight: Flight | None = None
    reports: int = 0
    refusals: Ticks = (0, 0)
    prepared: int = NOBODY
    predecessor: int = NOBODY


class State(NamedTuple):
    """State of the model.

    Args:
        servers: Both backend servers.
        coordinators: Coordinators elected so far.
        recorded: Owner of the keys in the store, -1 without a record.
        writer: Coordinator that the record names.
        is_moving: Whether the record names a previous owner.
        is_settled: Whether the record declares that a coordinator resigned
            with all grants answered.
        late_write: Owner in a write that is not yet done; used without the
            rule 'guarded-write', and for first records.
        late_writer: Coordinator that the late first record names.
    """

    servers: tuple[Server, Server]
    coordinators: tuple[Coordinator, ...]
    recorded: int = 0
    writer: int = 0
    is_moving: bool = False
    is_settled: bool = False
    late_write: int = NOBODY
    late_writer: int = NOBODY


Step = tuple[str, State]


def initial_state(term: int) -> State:
    """Return the initial state, in which server 0 owns the keys.

    Args:
        term: Ticks of the first coordinator's term.
    """
    bound = HOLD + SLOWNESS
    first = Coordinator(term, term, 0, False, (bound, 0))
    return State((Server(bound), Server()), (first,))


def state_without_record(term: int) -> State:
    """Return the initial state without a record and without grants.

    Args:
        term: Ticks of the first coordinator's term.
    """
    first = Coordinator(term, term, NOBODY, False)
    return State((Server(), Server()), (first,), NOBODY, writer=NOBODY)


def at_index(pair: tuple, index: int, item: object) -> tuple:
    """Return a tuple with one member replaced."""
    return (*pair[:index], item, *pair[index + 1 :])


def with_server(state: State, number: int, server: Server) -> State:
    """Return a state with one server replaced."""
    return state._replace(servers=at_index(state.servers, number, server))


def with_coordinator(
    state: State, number: int, coordinator: Coordinator
) -> State:
    """Return a state with one coordinator replaced."""
    return state._replace(
        coordinators=at_index(state.coordinators, number, coordinator)
    )


def server_hold(flight: Flight) -> int:
    """Return how long a grant is in force at its server from its arrival."""
    slowness = SLOWNESS if flight.target == 0 else 0
    return HOLD + slowness + flight.extra


def assumed_hold(rules: frozenset[str]) -> int:
    """Return how long a coordinator assumes a grant to be in force."""
    return HOLD + SLOWNESS if 'slow-clock' in rules else HOLD


def sent_bound(rules: frozenset[str], extra: int) -> int:
    """Return the bound of a grant that is being sent."""
    delay = TIMEOUT if 'arrival-delay' in rules else 0
    length = extra if 'bound-by-length' in rules else 0
    return delay + assumed_hold(rules) + length
