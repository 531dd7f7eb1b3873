"""Writes to the store and reads of the history."""

import random
from collections.abc import Callable
from typing import Any

import trio
from result import Ok
from trio.testing import MockClock

from carobwalk.profiles import (
    Action,
    ChangeNotKept,
    ConfigurationHistory,
    ConfigurationRepository,
    ConfigurationTooLarge,
    OutcomeUnknown,
    StaleRevision,
    StoreUnavailable,
)
from carobwalk.profiles.writing._history_pages import (
    PAGE_COUNT,
    PAGE_LENGTH,
    HistoryPage,
    HistoryPages,
)
from standins.memory_store import MemoryStore, StoreFaults
from tests.profiles._proposals import PROFILE, SERVICE, propose


class _Writer:
    """A writing process with its own connection to the store."""

    def __init__(self, store: MemoryStore) -> None:
        self.link = store.client()
        self.repository = ConfigurationRepository(
            self.link,
            trio.current_time,
            random.Random(1),
        )
        self.history = ConfigurationHistory(self.link)


def _run(clock: MockClock, test: Callable[[MemoryStore, _Writer], Any]) -> None:
    async def main() -> None:
        store = MemoryStore()
        await test(store, _Writer(store))

    trio.run(main, clock=clock)


class TestWrite:
    """Accepted, rejected and unknown writes."""

    def test_accepted_write_is_durable(self, virtual_clock: MockClock) -> None:
        """Another process can read an accepted write."""

        async def test(store: MemoryStore, writer: _Writer) -> None:
            write = propose(PROFILE, 'a', {'slots': 2}, 0)
            acceptance = (await writer.repository.write(write)).unwrap()
            head = (await _Writer(store).repository.read()).unwrap()
            assert acceptance.revision == head.revision == 1
            assert head.configuration == acceptance.configuration

        _run(virtual_clock, test)

    def test_lost_reply(self, virtual_clock: MockClock) -> None:
        """A write whose reply was lost takes effect once."""

        async def test(store: MemoryStore, writer: _Writer) -> None:
            writer.link.inject(StoreFaults(lost_replies=1))
            write = propose(PROFILE, 'a', {'slots': 2}, 0)
            acceptance = (await writer.repository.write(write)).unwrap()
            assert (acceptance.revision, acceptance.repeated) == (1, True)
            assert (await writer.repository.read()).unwrap().revision == 1

        _run(virtual_clock, test)

    def test_unknown_outcome_is_found_by_write_id(
        self, virtual_clock: MockClock
    ) -> None:
        """A write that takes effect after its timeout is found by its id."""

        async def test(store: MemoryStore, writer: _Writer) -> None:
            writer.link.inject(StoreFaults(holds_writes=True, timeout=0.5))
            write = propose(PROFILE, 'a', {'slots': 2}, 0, write_id='w')
            failure = (await writer.repository.write(write)).unwrap_err()
            assert isinstance(failure, OutcomeUnknown)
            missing = (await writer.history.find_write('w')).unwrap_err()
            assert isinstance(missing, ChangeNotKept)
            writer.link.release_held()
            writer.link.inject(StoreFaults())
            found = (await writer.history.find_write('w')).unwrap()
            again = (await writer.repository.write(write)).unwrap()
            assert found.revision == again.revision == 1

        _run(virtual_clock, test)

    def test_delayed_write_does_not_overwrite(
        self, virtual_clock: MockClock
    ) -> None:
        """A delayed write never overwrites a write accepted since."""

        async def test(store: MemoryStore, writer: _Writer) -> None:
            writer.link.inject(StoreFaults(holds_writes=True, timeout=0.5))
            delayed = propose(PROFILE, 'a', {'slots': 2}, 0, author='late')
            assert (await writer.repository.write(delayed)).is_err()
            other = _Writer(store)
            write = propose(PROFILE, 'a', {'slots': 3}, 0)
            assert (await other.repository.write(write)).is_ok()
            writer.link.release_held()
            writer.link.inject(StoreFaults())
            failure = (await writer.repository.write(delayed)).unwrap_err()
            assert isinstance(failure, StaleRevision)
            head = (await other.repository.read()).unwrap()
            assert [change.author for change in head.recent] == ['ana']

        _run(virtual_clock, test)

    def test_store_down(self, virtual_clock: MockClock) -> None:
        """A write that never reached the store fails with a known outcome."""

        async def test(store: MemoryStore, writer: _Writer) -> None:
            writer.link.inject(StoreFaults(down=True))
            write = propose(PROFILE, 'a', {}, 0)
            failure = (await writer.repository.write(write)).unwrap_err()
            assert isinstance(failure, StoreUnavailable)
            assert trio.current_time() < 4

        _run(virtual_clock, test)

    def test_concurrent_writers_of_different_subjects(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """Concurrent writes to different subjects are all accepted."""

        async def write(store: MemoryStore, number: int) -> None:
            writer = _Writer(store)
            writer.link.inject(StoreFaults(delay=0.01 + number / 1000))
            proposal = propose(PROFILE, f'p{number}', {}, 0)
            assert (await writer.repository.write(proposal)).is_ok()

        async def test(store: MemoryStore, writer: _Writer) -> None:
            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(write, store, number)
            assert (await writer.repository.read()).unwrap().revision == 6

        _run(virtual_clock, test)

    def test_record_above_the_size_limit(
        self, virtual_clock: MockClock
    ) -> None:
        """A record above the size limit is rejected before it is written."""

        async def test(store: MemoryStore, writer: _Writer) -> None:
            noise = random.Random(2).randbytes(200_000).hex()
            rules = [{'rank': 'lookup', 'path_prefix': f'/{noise}'}]
            write = propose(PROFILE, 'a', {'rank_rules': rules}, 0)
            failure = (await writer.repository.write(write)).unwrap_err()
            assert isinstance(failure, ConfigurationTooLarge)

        _run(virtual_clock, test)

    def test_preview_writes_nothing(self, virtual_clock: MockClock) -> None:
        """A preview lists the affected services and fields."""

        async def test(store: MemoryStore, writer: _Writer) -> None:
            repository = writer.repository
            await repository.write(propose(PROFILE, 'a', {'slots': 2}, 0))
            await repository.write(propose(PROFILE, 'b', {'parent': 'a'}, 1))
            service = propose(SERVICE, 's', {'profile': 'b'}, 2)
            await repository.write(service)
            edit = propose(PROFILE, 'a', {'slots': 9}, 3, action=Action.EDIT)
            preview = (await repository.preview(edit)).unwrap()
            effect = preview.effects[0]
            assert effect.service == 's'
            assert [
                (change.field, change.before, change.after)
                for change in effect.fields
            ] == [('slots', 2, 9)]
            assert (await repository.read()).unwrap().revision == 3

        _run(virtual_clock, test)


class TestHistory:
    """History beyond the head record."""

    def test_older_changes_are_archived_in_pages(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """Every change is listed once, newest first, across all pages."""
        count = 3 * PAGE_LENGTH + 5

        async def test(store: MemoryStore, writer: _Writer) -> None:
            for base in range(count):
                write = propose(PROFILE, 'a', {'slots': base + 1}, base)
                assert (await writer.repository.write(write)).is_ok()
            revisions: list[int] = []
            before = None
            while before != 1:
                page = (await writer.history.list_changes(before)).unwrap()
                revisions.extend(change.revision for change in page)
                before = revisions[-1]
            assert revisions == list(range(count, 0, -1))
            found = (await writer.history.find_change(7)).unwrap()
            assert found.fields[0].after == 7

        _run(virtual_clock, test)

    def test_page_is_stored_before_the_head_is_shortened(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """A lost reply to the write of a page loses no entry."""

        async def test(store: MemoryStore, writer: _Writer) -> None:
            for base in range(2 * PAGE_LENGTH + 1):
                write = propose(PROFILE, 'a', {'slots': base + 1}, base)
                writer.link.inject(StoreFaults(lost_replies=base % 2))
                assert (await writer.repository.write(write)).is_ok()
            page = await writer.history.list_changes(PAGE_LENGTH + 1)
            assert len(page.unwrap()) == PAGE_LENGTH

        _run(virtual_clock, test)

    def test_oldest_page_is_overwritten(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """A slow writer of an older page can't overwrite the newer one."""

        async def test(store: MemoryStore, writer: _Writer) -> None:
            pages = HistoryPages(writer.link)
            await pages._store_page(HistoryPage(PAGE_COUNT, ()))
            await pages._store_page(HistoryPage(0, ()))
            stored = (await writer.link.read_prefix('configuration/')).unwrap()
            assert len(stored) == 1
            assert stored[0].revision == 1
            assert await pages.read(0) == Ok(())

        _run(virtual_clock, test)
