"""Search of all orders of events around grants that count from arrival.

One range of keys, two backend servers, two coordinators one after the other.
Time passes in ticks. A grant holds ``HOLD`` ticks from its arrival. A grant
that is not answered arrives at once and is applied up to ``LATE`` ticks later;
its time counts from its arrival all the same. A coordinator may lose contact
at any time, which the search covers by letting it skip steps.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

HOLD = 3
LATE = 3
TERM = 2

RULES = frozenset(
    (
        # A silent owner's grant is waited out before the next one.
        'wait-hold',
        # After a release, grants that were not answered are waited out.
        'wait-unanswered',
        # Nothing is sent once the lease may have lapsed.
        'term',
        # A new coordinator waits for what the one before it may have sent.
        'inherited',
        # What the one before tells has its unanswered grants in it.
        'tell-unanswered',
        # An assignment is in the store before its first grant.
        'record',
    ),
)


@dataclass(frozen=True)
class Server:
    """A backend server: ticks left of its grant, and grants not applied.

    ``late`` holds pairs of ticks until applied and ticks until its end.
    """

    left: int = 0
    late: tuple[tuple[int, int], ...] = ()


@dataclass(frozen=True)
class Coordinator:
    """What a coordinator knows.

    Args:
        term: Ticks left of its lease.
        owner: Server it believes to own the keys, -1 for none.
        holds: Ticks until each server's grants are over for certain.
        unanswered: The same for grants that were not answered.
        released: Server that answered a release, -1 for none.
    """

    term: int
    owner: int
    holds: tuple[int, int]
    unanswered: tuple[int, int]
    released: int = -1


@dataclass(frozen=True)
class State:
    """State of all; ``current`` is the coordinator that the store names."""

    servers: tuple[Server, Server]
    coordinators: tuple[Coordinator | None, Coordinator | None]
    recorded: int = 0
    current: int = 0


Step = tuple[str, State]


def start() -> State:
    """Return the state in which server 0 owns the keys."""
    first = Coordinator(TERM, 0, (HOLD, 0), (0, 0))
    return State((Server(HOLD), Server()), (first, None))


def put(pair: tuple, index: int, item: object) -> tuple:
    """Return a pair with one member replaced."""
    return (item, pair[1]) if index == 0 else (pair[0], item)


def steps(state: State, rules: frozenset[str]) -> Iterator[Step]:
    """Yield what may happen next."""
    yield 'a tick passes', tick(state)
    if state.current == 0 and state.coordinators[0].term == 0:
        yield 'the second coordinator is elected', elect(state, rules)
        yield 'the second learns from the first', succeed(state, rules)
    for number, coordinator in enumerate(state.coordinators):
        if coordinator is None:
            continue
        if coordinator.term == 0 and 'term' in rules:
            continue
        yield from orders(state, number, coordinator, rules)


def tick(state: State) -> State:
    """Let time pass."""
    return replace(
        state,
        servers=tuple(pass_time(server) for server in state.servers),
        coordinators=tuple(
            coordinator and age(coordinator)
            for coordinator in state.coordinators
        ),
    )


def pass_time(server: Server) -> Server:
    """Return a server one tick later."""
    left = max(server.left - 1, 0)
    late = []
    for apply_in, end_in in server.late:
        if apply_in > 1:
            late.append((apply_in - 1, end_in - 1))
        else:
            left = max(left, end_in - 1)
    return Server(left, tuple(sorted(late)))


def age(coordinator: Coordinator) -> Coordinator:
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


def succeed(state: State, rules: frozenset[str]) -> State:
    """Return the state after the second took over the first's bounds."""
    first = state.coordinators[0]
    second = Coordinator(
        TERM + HOLD + 1,
        state.recorded,
        first.holds,
        first.unanswered if 'tell-unanswered' in rules else (0, 0),
    )
    return replace(state, coordinators=(first, second), current=1)


def orders(
    state: State,
    number: int,
    coordinator: Coordinator,
    rules: frozenset[str],
) -> Iterator[Step]:
    """Yield what a coordinator may do."""
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
            coordinators=put(recorded.coordinators, number, owned),
        )
        yield from grants(moved, number, target, 'assigns')


def is_free(
    coordinator: Coordinator,
    holder: int,
    rules: frozenset[str],
) -> bool:
    """Return whether a server certainly holds nothing any more."""
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
    """Yield the ways in which a grant may end."""
    coordinator = state.coordinators[number]
    sent = replace(coordinator, holds=put(coordinator.holds, target, HOLD))
    server = state.servers[target]
    answered = replace(
        state,
        servers=put(state.servers, target, replace(server, left=HOLD)),
        coordinators=put(state.coordinators, number, sent),
    )
    yield f'{number} {verb} {target}', answered
    if len(server.late) > 1:
        return
    doubtful = replace(
        sent,
        unanswered=put(sent.unanswered, target, HOLD),
    )
    for apply_in in range(1, LATE + 1):
        late = tuple(sorted((*server.late, (apply_in, HOLD))))
        yield (
            f'{number} {verb} {target}, applied {apply_in} ticks later',
            replace(
                state,
                servers=put(
                    state.servers,
                    target,
                    replace(server, late=late),
                ),
                coordinators=put(state.coordinators, number, doubtful),
            ),
        )


def releases(
    state: State,
    number: int,
    coordinator: Coordinator,
) -> Iterator[Step]:
    """Yield an answered release, and giving a silent owner up."""
    owner = coordinator.owner
    released = replace(coordinator, owner=-1, released=owner)
    yield (
        f'{number} releases {owner}',
        replace(
            state,
            servers=put(
                state.servers,
                owner,
                replace(state.servers[owner], left=0),
            ),
            coordinators=put(state.coordinators, number, released),
        ),
    )
    given_up = replace(coordinator, owner=-1, released=-1)
    yield (
        f'{number} gives {owner} up',
        replace(
            state,
            coordinators=put(state.coordinators, number, given_up),
        ),
    )


def search(rules: frozenset[str], limit: int) -> tuple[int, list[str] | None]:
    """Return the number of states seen, and the way to two owners if any."""
    first = start()
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
    """Return the labels on the way to a state."""
    labels = []
    while parents[state]:
        state, label = parents[state]
        labels.append(label)
    labels.reverse()
    return labels
