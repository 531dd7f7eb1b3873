"""First record of the owner of the keys in the model."""

from collections.abc import Iterator

from tests.keyspace.grant_model._state import (
    FIRST_OWNER,
    NOBODY,
    State,
    Step,
    with_coordinator,
)


def first_records(
    state: State, number: int, rules: frozenset[str]
) -> Iterator[Step]:
    """Yield the steps of a coordinator that knows no owner of the keys.

    It writes the first record, on condition that there is none. If the write
    conflicts or is not answered, it reads what the store holds by then.
    """
    if state.recorded != NOBODY:
        yield from record_reads(state, number, rules)
        return
    name = f'the first record of {number}'
    written = state._replace(recorded=FIRST_OWNER, writer=number)
    yield f'{name} is written', with_owner(written, number, FIRST_OWNER)
    yield f'{name} is written without an answer', written
    if state.late_write == NOBODY:
        late = state._replace(late_write=FIRST_OWNER, late_writer=number)
        yield f'{name} will be written late', late


def record_reads(
    state: State, number: int, rules: frozenset[str]
) -> Iterator[Step]:
    """Yield what a coordinator does about a record that it finds."""
    if state.writer == number or 'own-record' not in rules:
        yield (
            f'{number} goes on with the record of {state.writer}',
            with_owner(state, number, state.recorded),
        )
        return
    ended = state.coordinators[number]._replace(term=0)
    yield (
        f'{number} ends its term at the record of {state.writer}',
        with_coordinator(state, number, ended),
    )


def with_owner(state: State, number: int, owner: int) -> State:
    """Return a state in which a coordinator knows the owner of the keys."""
    informed = state.coordinators[number]._replace(owner=owner)
    return with_coordinator(state, number, informed)
