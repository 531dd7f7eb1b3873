"""Restarts of servers under their old id."""

from collections.abc import Iterator

from tests.keyspace.grant_model._rules import CALM
from tests.keyspace.grant_model._state import Server, State, Step, with_server


def restarts(state: State, rules: frozenset[str]) -> Iterator[Step]:
    """Yield the restart of a server, which loses its keys."""
    if CALM in rules:
        return
    is_mistaken = 'restart-is-no-release' not in rules
    for number, server in enumerate(state.servers):
        if server.left and not server.is_restarted:
            restarted = Server(is_restarted=is_mistaken)
            label = f'server {number} restarts'
            yield label, with_server(state, number, restarted)
