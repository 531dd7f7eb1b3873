"""Registry of the kinds of faults, filled by decorators."""

from collections.abc import Awaitable, Callable

from carobwalk.model import ServerId
from tests.keyspace.owner_faults._target import (
    SERVERS,
    FaultTarget,
    ServerUnderFault,
)

FaultKind = Callable[[FaultTarget], Awaitable[None]]


class FaultKinds:
    """Registry of the kinds of faults by name."""

    def __init__(self) -> None:
        self._kinds_by_name: dict[str, FaultKind] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all kinds."""
        return tuple(self._kinds_by_name)

    def add(self, name: str, kind: FaultKind) -> None:
        """Add a kind of fault."""
        self._kinds_by_name[name] = kind

    def find(self, name: str) -> FaultKind:
        """Return a kind of fault by name."""
        return self._kinds_by_name[name]


fault_kinds = FaultKinds()


def fault(name: str) -> Callable[[FaultKind], FaultKind]:
    """Return a decorator that registers a kind of fault."""

    def register(inject: FaultKind) -> FaultKind:
        fault_kinds.add(name, inject)
        return inject

    return register


ServerFault = Callable[[FaultTarget, ServerUnderFault], Awaitable[None]]


def server_fault(name: str) -> Callable[[ServerFault], ServerFault]:
    """Return a decorator that registers a fault of one server.

    One fault at a time is injected into a server.
    """

    def register(inject: ServerFault) -> ServerFault:
        async def run(target: FaultTarget) -> None:
            number = target.generator.randrange(SERVERS)
            part = f's{number}'
            if part in target.busy:
                return
            target.busy.add(part)
            server = ServerId(part)
            found = ServerUnderFault(
                number,
                target.fleet.book.holders_by_id[server],
                target.fleet.book.faults_by_id[server],
            )
            target.note(f'{name} at {part}')
            await inject(target, found)
            target.note(f'{name} at {part} ends')
            target.busy.discard(part)

        fault_kinds.add(name, run)
        return inject

    return register
