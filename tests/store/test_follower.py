"""Pattern: many members write their own records in series."""

from collections.abc import Awaitable, Callable, Sequence

import trio
from result import Ok, Result
from trio.testing import MockClock

from carobwalk.events import NullEventLog
from carobwalk.model import TrioClock
from carobwalk.store import (
    Changes,
    Listing,
    RecordFollower,
    Removed,
    StoreFailure,
    Versioned,
)

_MEMBERS = 157
_QUICK_SECONDS = 0.03
_SLOW_SECONDS = 0.1
_MOST_CALLS = 12
_AT_ONCE_SECONDS = 0.01
_LONGEST_SECONDS = 1.01


class _Store:
    """Serves one prefix, and counts the calls."""

    def __init__(self) -> None:
        self.changes: list[Versioned] = []
        self.calls = 0
        self.changed = trio.Event()

    def put(self, name: str) -> None:
        """Write a record."""
        revision = len(self.changes) + 1
        self.changes.append(Versioned(name, b'', revision))
        self.changed.set()
        self.changed = trio.Event()

    async def list_records(
        self,
        _prefix: str,
    ) -> Result[Listing, StoreFailure]:
        """Return all records."""
        self.calls += 1
        return Ok(Listing(tuple(self.changes), len(self.changes)))

    async def watch_records(
        self,
        _prefix: str,
        after_revision: int,
        timeout: float,
    ) -> Result[Changes, StoreFailure]:
        """Wait for changes."""
        self.calls += 1
        with trio.move_on_after(timeout):
            while len(self.changes) == after_revision:
                await self.changed.wait()
        found = self.changes[after_revision:]
        return Ok(Changes(tuple(found), len(self.changes)))


class _Reader:
    """Notes when it heard of each record."""

    def __init__(self) -> None:
        self.heard_by_name: dict[str, float] = {}

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Take all records."""
        self._hear(listing.records)

    def apply(self, change: Versioned | Removed) -> None:
        """Take one change."""
        self._hear([change])

    def _hear(self, rows: Sequence[Versioned | Removed]) -> None:
        for row in rows:
            self.heard_by_name[row.name] = trio.current_time()


class _Scene:
    def __init__(self, *, is_urgent: bool = False) -> None:
        self.store = _Store()
        self.reader = _Reader()
        self.follower = RecordFollower(
            self.store,  # type: ignore[arg-type]
            'members/',
            self.reader,
            TrioClock(),
            NullEventLog(),
            lambda: is_urgent,
        )

    async def join(self, gap: float) -> dict[str, float]:
        """Let all members join, one after the other; return when each did."""
        joined_at_by_name = {}
        for number in range(_MEMBERS):
            await trio.sleep(gap)
            name = f'members/{number}'
            joined_at_by_name[name] = trio.current_time()
            self.store.put(name)
        await trio.sleep(3)
        return joined_at_by_name


def _run(
    body: Callable[[_Scene], Awaitable[None]],
    clock: MockClock,
    *,
    is_urgent: bool = False,
) -> None:
    """Run a test's body beside a follower."""

    async def main() -> None:
        scene = _Scene(is_urgent=is_urgent)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scene.follower.run)
            await body(scene)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=clock)


class TestMembersThatJoinInSeries:
    """Each of 157 members writes its own record within seconds."""

    def test_a_series_costs_a_call_a_second(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """All is heard of in a handful of calls, for each process pays."""

        async def body(scene: _Scene) -> None:
            await scene.join(_QUICK_SECONDS)
            assert len(scene.reader.heard_by_name) == _MEMBERS
            assert scene.store.calls <= _MOST_CALLS

        _run(body, virtual_clock)

    def test_a_single_change_is_heard_of_at_once(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """A change after a quiet time isn't held back."""

        async def body(scene: _Scene) -> None:
            await scene.join(_QUICK_SECONDS)
            scene.store.put('members/late')
            began = trio.current_time()
            await trio.sleep(1)
            heard_at = scene.reader.heard_by_name['members/late']
            assert heard_at - began < _AT_ONCE_SECONDS

        _run(body, virtual_clock)

    def test_urgent_changes_are_not_gathered(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """Keys wait for the coordinator to learn of members."""

        async def body(scene: _Scene) -> None:
            await scene.join(_QUICK_SECONDS)
            assert scene.store.calls >= _MEMBERS

        _run(body, virtual_clock, is_urgent=True)

    def test_no_change_waits_longer_than_a_pause(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """The slowest is heard of within a second."""

        async def body(scene: _Scene) -> None:
            joined = await scene.join(_SLOW_SECONDS)
            heard = scene.reader.heard_by_name
            delays = [heard[name] - joined[name] for name in joined]
            assert max(delays) <= _LONGEST_SECONDS

        _run(body, virtual_clock)
