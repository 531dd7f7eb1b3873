"""Test harness: a fleet of processes that replicate the configuration."""

from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from benchmarks._config_fleet import Fleet, Process
from carobwalk.events import Event
from standins.memory_store import StoreFaults
from tests.profiles._proposals import PROFILE, propose

REPLICATION_LIMIT_SECONDS = 4
COUNT = 12
DOWN = StoreFaults(down=True)
Test = Callable[[Fleet], Awaitable[None]]


class RecordedEvents:
    """Events of all processes."""

    def __init__(self) -> None:
        self.events: list[tuple[str, Event]] = []

    def record(self, process: Process, event: Event) -> None:
        """Record an event of a process."""
        self.events.append((process.own.name, event))

    def count(self, kind: type[Event]) -> int:
        """Return the number of recorded events of a type."""
        return sum(isinstance(event, kind) for _, event in self.events)


def run(clock: MockClock, test: Test, count: int = COUNT) -> RecordedEvents:
    """Run a test with a started fleet and return its events."""
    events = RecordedEvents()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(count, 1, nursery, events.record)
            fleet.watchers = frozenset(('entry-000', 'entry-001'))
            for endpoint in fleet.endpoints:
                fleet.start(endpoint)
            await trio.sleep(2)
            await test(fleet)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=clock)
    return events


async def write_slots(process: Process, slots: int, base: int) -> int:
    """Write a profile and return the accepted revision."""
    write = propose(PROFILE, 'a', {'slots': slots}, base)
    return (await process.repository.write(write)).unwrap().revision


async def replicate_first(fleet: Fleet, name: str) -> None:
    """Write the first revision at a process; give it the time limit.

    Args:
        fleet: Fleet without a revision.
        name: Name of the process that writes.
    """
    await write_slots(fleet.processes[name], 1, 0)
    await trio.sleep(REPLICATION_LIMIT_SECONDS)


def restart(fleet: Fleet, name: str) -> Process:
    """Stop a process and return the one that is started in its place."""
    process = fleet.processes[name]
    fleet.stop(process)
    return fleet.start(process.own)


def revisions_of(fleet: Fleet) -> set[int]:
    """Return the revisions that are active anywhere."""
    return {
        process.follower.current().revision
        for process in fleet.processes.values()
    }
