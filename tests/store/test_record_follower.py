"""Tests of ``RecordFollower`` while many records are written in a row."""

from collections.abc import Awaitable, Callable, Sequence

import trio
from result import Ok, Result
from trio.testing import MockClock

from carobwalk.events import NullEventLog
from carobwalk.model import TrioClock
from carobwalk.store import (
    AccessReason,
    Changes,
    DirectAccess,
    Listing,
    ReadOptions,
    RecordFollower,
    Removed,
    StoreFailure,
    Versioned,
)

_MEMBERS = 157
_SHORT_GAP_SECONDS = 0.03
_LONG_GAP_SECONDS = 0.1
_MAX_CALLS = 12
_IMMEDIATE_SECONDS = 0.01
_MAX_DELAY_SECONDS = 1.01


class _CountingStore:
    """In-memory store of one prefix that counts the calls."""

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
        _margin: float,
    ) -> Result[Changes, StoreFailure]:
        """Wait for changes."""
        self.calls += 1
        with trio.move_on_after(timeout):
            while len(self.changes) == after_revision:
                await self.changed.wait()
        found = self.changes[after_revision:]
        return Ok(Changes(tuple(found), len(self.changes)))


class _RecordingReader:
    """Records when it receives each record."""

    def __init__(self) -> None:
        self.received_at_by_name: dict[str, float] = {}

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Record all records of the listing."""
        self._record(listing.records)

    def apply(self, change: Versioned | Removed) -> None:
        """Record one change."""
        self._record([change])

    def _record(self, records: Sequence[Versioned | Removed]) -> None:
        for record in records:
            self.received_at_by_name[record.name] = trio.current_time()


class _Fixture:
    """A follower with its store and reader."""

    def __init__(self, *, is_urgent: bool = False) -> None:
        self.store = _CountingStore()
        self.reader = _RecordingReader()
        self.follower = RecordFollower(
            self.store,  # type: ignore[arg-type]
            'members/',
            self.reader,
            TrioClock(),
            NullEventLog(),
            ReadOptions(
                access=DirectAccess(
                    AccessReason.COORDINATES
                    if is_urgent
                    else AccessReason.ALWAYS
                )
            ),
        )

    async def write_members(self, gap_seconds: float) -> dict[str, float]:
        """Write the record of each member; return the times of writing."""
        written_at_by_name = {}
        for number in range(_MEMBERS):
            await trio.sleep(gap_seconds)
            name = f'members/{number}'
            written_at_by_name[name] = trio.current_time()
            self.store.put(name)
        await trio.sleep(3)
        return written_at_by_name


def _run(
    body: Callable[[_Fixture], Awaitable[None]],
    clock: MockClock,
    *,
    is_urgent: bool = False,
) -> None:
    """Run the body of a test concurrently with a follower."""

    async def main() -> None:
        fixture = _Fixture(is_urgent=is_urgent)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fixture.follower.run)
            await body(fixture)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=clock)


class TestRecordFollower:
    """Each of 157 members writes its own record within seconds."""

    def test_series_of_changes_is_batched(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """A series is fetched in few calls, since each process makes them."""

        async def body(fixture: _Fixture) -> None:
            await fixture.write_members(_SHORT_GAP_SECONDS)
            assert len(fixture.reader.received_at_by_name) == _MEMBERS
            assert fixture.store.calls <= _MAX_CALLS

        _run(body, virtual_clock)

    def test_single_change_is_received_at_once(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """A change after a pause is not delayed by the rate limit."""

        async def body(fixture: _Fixture) -> None:
            await fixture.write_members(_SHORT_GAP_SECONDS)
            fixture.store.put('members/late')
            written_at = trio.current_time()
            await trio.sleep(1)
            received_at = fixture.reader.received_at_by_name['members/late']
            assert received_at - written_at < _IMMEDIATE_SECONDS

        _run(body, virtual_clock)

    def test_urgent_changes_are_not_batched(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """Urgent changes are fetched one by one, since keys wait for them."""

        async def body(fixture: _Fixture) -> None:
            await fixture.write_members(_SHORT_GAP_SECONDS)
            assert fixture.store.calls >= _MEMBERS

        _run(body, virtual_clock, is_urgent=True)

    def test_delay_of_changes_is_bounded(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """Every change is received within about a second."""

        async def body(fixture: _Fixture) -> None:
            written = await fixture.write_members(_LONG_GAP_SECONDS)
            received = fixture.reader.received_at_by_name
            delays = [received[name] - written[name] for name in written]
            assert max(delays) <= _MAX_DELAY_SECONDS

        _run(body, virtual_clock)
