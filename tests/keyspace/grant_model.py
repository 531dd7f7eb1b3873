"""Exhaustive model of grants whose duration counts from their arrival.

The model has one range of keys, two backend servers and two successive
coordinators. Time passes in ticks. A grant is in force for ``HOLD`` ticks from
its arrival. An unanswered grant arrives at once and is applied up to ``LATE``
ticks later; its duration counts from its arrival all the same. A coordinator
may lose contact at any time, which the search covers by letting it skip steps.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

HOLD = 3
LATE = 3
TERM = 2

RULES = frozenset(
    (
        # The grant of an unresponsive owner expires before the next grant.
        'wait-hold',
        # After a release, unanswered grants expire before the next grant.
        'wait-unanswered',
        # No orders are sent once the lease may have expired.
        'term',
        # A new coordinator waits for grants of the preceding one.
        'inherited',
        # The bounds reported by a predecessor include unanswered grants.
        'report-unanswered',
        # An assignment is written to the store before its first grant.
        'record',
    ),
)


@dataclass(frozen=True)
class Server:
    """State of a backend server.

    Args:
        left: Ticks until its grant expires.
        late: Grants not yet applied, as pairs of the ticks until the grant is
            applied and until it expires.
    """

    left: int = 0
    late: tuple[tuple[int, int], ...] = ()


@dataclass(frozen=True)
class Coordinator:
    """State of a coordinator.

    Args:
        term: Ticks until its lease may expire.
        owner: Server that it regards as the owner, -1 for none.
        holds: Ticks until all grants to each server have certainly expired.
        unanswered: The same bounds for unanswered grants only.
        released: Server that answered a release, -1 for none.
    """

    term: int
    owner: int
    holds: tuple[int, int]
    unanswered: tuple[int, int]
    released: int = -1


@dataclass(frozen=True)
class State:
    """State of the model.

    Args:
        servers: Both backend servers.
        coordinators: Both coordinators, ``None`` before the election.
        recorded: Owner of the keys in the store.
        current: Coordinator that is named in the store.
    """

    servers: tuple[Server, Server]
    coordinators: tuple[Coordinator | None, Coordinator | None]
    recorded: int = 0
    current: int = 0


Step = tuple[str, State]


def initial_state() -> State:
    """Return the initial state, in which server 0 owns the keys."""
    first = Coordinator(TERM, 0, (HOLD, 0), (0, 0))
    return State((Server(HOLD), Server()), (first, None))


def replace_item(pair: tuple, index: int, item: object) -> tuple:
    """Return a pair with one member replaced."""
    return (item, pair[1]) if index == 0 else (pair[0], item)


def steps(state: State, rules: frozenset[str]) -> Iterator[Step]:
    """Yield all possible next steps."""
    yield 'a tick passes', tick(state)
    if state.current == 0 and state.coordinators[0].term == 0:
        yield 'the second coordinator is elected', elect(state, rules)
        yield 'the second adopts the bounds of the first', adopt(state, rules)
    for number, coordinator in enumerate(state.coordinators):
        if coordinator is None:
            continue
        if coordinator.term == 0 and 'term' in rules:
            continue
        yield from orders(state, number, coordinator, rules)


def tick(state: State) -> State:
    """Return the state one tick later."""
    return replace(
        state,
        servers=tuple(advance_server(server) for server in state.servers),
        coordinators=tuple(
            coordinator and advance_coordinator(coordinator)
            for coordinator in state.coordinators
        ),
    )


def advance_server(server: Server) -> Server:
    """Return a server one tick later."""
    left = max(server.left - 1, 0)
    late = []
    for apply_in, end_in in server.late:
        if apply_in > 1:
            late.append((apply_in - 1, end_in - 1))
        else:
            left = max(left, end_in - 1)
    return Server(left, tuple(sorted(late)))


def advance_coordinator(coordinator: Coordinator) -> Coordinator:
    """Return a coordinator one tick later."""
    return replace(
        coordinator,
        term=max(coordinator.term - 1, 0),
        holds=tuple(max(ticks - 1, 0) for ticks in coordinator.holds),
        unanswered=tuple(max(ticks - 1, 0) for ticks in coordinator.unanswered),
    )


def elect(state: State, rules: frozenset[str]) -> State:
    """Return the state after the second coordinator claimed the record."""
    bound = HOLD if 'inherited' in rules else 0
    second = Coordinator(
        TERM + HOLD + 1,
        state.recorded,
        (bound, bound),
        (bound, bound),
    )
    return replace(
        state,
        coordinators=(state.coordinators[0], second),
        current=1,
    )


def adopt(state: State, rules: frozenset[str]) -> State:
    """Return the state after the second adopted the first's bounds."""
    first = state.coordinators[0]
    second = Coordinator(
        TERM + HOLD + 1,
        state.recorded,
        first.holds,
        first.unanswered if 'report-unanswered' in rules else (0, 0),
    )
    return replace(state, coordinators=(first, second), current=1)


def orders(
    state: State,
    number: int,
    coordinator: Coordinator,
    rules: frozenset[str],
) -> Iterator[Step]:
    """Yield the steps that a coordinator may take."""
    if coordinator.owner >= 0:
        yield from grants(state, number, coordinator.owner, 'renews')
        yield from releases(state, number, coordinator)
        return
    for target in (0, 1):
        if not is_free(coordinator, 1 - target, rules):
            continue
        recorded = state
        if 'record' in rules:
            if number != state.current:
                continue
            recorded = replace(state, recorded=target)
        owned = replace(coordinator, owner=target, released=-1)
        moved = replace(
            recorded,
            coordinators=replace_item(recorded.coordinators, number, owned),
        )
        yield from grants(moved, number, target, 'assigns')


def is_free(
    coordinator: Coordinator,
    holder: int,
    rules: frozenset[str],
) -> bool:
    """Return whether a server is certain to hold no grant."""
    if coordinator.released == holder:
        is_over = coordinator.unanswered[holder] == 0
        return is_over or 'wait-unanswered' not in rules
    return coordinator.holds[holder] == 0 or 'wait-hold' not in rules


def grants(
    state: State,
    number: int,
    target: int,
    verb: str,
) -> Iterator[Step]:
    """Yield the possible outcomes of sending a grant."""
    coordinator = state.coordinators[number]
    sent = replace(
        coordinator, holds=replace_item(coordinator.holds, target, HOLD)
    )
    server = state.servers[target]
    answered = replace(
        state,
        servers=replace_item(state.servers, target, replace(server, left=HOLD)),
        coordinators=replace_item(state.coordinators, number, sent),
    )
    yield f'{number} {verb} {target}', answered
    if len(server.late) > 1:
        return
    in_doubt = replace(
        sent,
        unanswered=replace_item(sent.unanswered, target, HOLD),
    )
    for apply_in in range(1, LATE + 1):
        late = tuple(sorted((*server.late, (apply_in, HOLD))))
        yield (
            f'{number} {verb} {target}, applied {apply_in} ticks later',
            replace(
                state,
                servers=replace_item(
                    state.servers,
                    target,
                    replace(server, late=late),
                ),
                coordinators=replace_item(state.coordinators, number, in_doubt),
            ),
        )


def releases(
    state: State,
    number: int,
    coordinator: Coordinator,
) -> Iterator[Step]:
    """Yield an answered release, and giving up an unresponsive owner."""
    owner = coordinator.owner
    released = replace(coordinator, owner=-1, released=owner)
    yield (
        f'{number} releases {owner}',
        replace(
            state,
            servers=replace_item(
                state.servers,
                owner,
                replace(state.servers[owner], left=0),
            ),
            coordinators=replace_item(state.coordinators, number, released),
        ),
    )
    given_up = replace(coordinator, owner=-1, released=-1)
    yield (
        f'{number} gives up on {owner}',
        replace(
            state,
            coordinators=replace_item(state.coordinators, number, given_up),
        ),
    )


def search(rules: frozenset[str], limit: int) -> tuple[int, list[str] | None]:
    """Search the states breadth first for two simultaneous owners.

    Args:
        rules: Rules that are enabled.
        limit: Maximum number of states to visit.

    Returns:
        Number of states visited, and the steps that lead to two owners,
        ``None`` if there are none.
    """
    first = initial_state()
    parents: dict[State, tuple[State, str] | None] = {first: None}
    queue = deque([first])
    while queue and len(parents) < limit:
        state = queue.popleft()
        for label, following in steps(state, rules):
            if following in parents:
                continue
            parents[following] = (state, label)
            if all(server.left for server in following.servers):
                return len(parents), trace(parents, following)
            queue.append(following)
    return len(parents), None


def trace(parents: dict, state: State) -> list[str]:
    """Return the labels of the steps that lead to a state."""
    labels = []
    while parents[state]:
        state, label = parents[state]
        labels.append(label)
    labels.reverse()
    return labels
