"""Tests of the in-memory store."""

from collections.abc import Awaitable, Callable

import pytest
import trio
from result import Err, Ok
from trio.testing import MockClock

from carobwalk.store import (
    Conflict,
    LeaseLost,
    Store,
    Unanswered,
    Unavailable,
    Versioned,
)
from standins.memory_store import MemoryStore, StoreFaults


def run(clock: MockClock, body: Callable[[], Awaitable[None]]) -> None:
    """Run a test body on the virtual clock."""
    trio.run(body, clock=clock)


class TestCompareAndSwap:
    def test_one_of_two_wins(self, virtual_clock: MockClock) -> None:
        """Of two writes based on the same revision, one gets a conflict."""

        async def body() -> None:
            store = MemoryStore()
            first: Store = store.client()
            second: Store = store.client()
            assert await first.write('a', b'1', 0) == Ok(1)
            lost = await second.write('a', b'2', 0)
            assert lost == Err(Conflict(Versioned('a', b'1', 1)))
            assert await second.write('a', b'2', 1) == Ok(2)
            assert await first.read('a') == Ok(Versioned('a', b'2', 2))

        run(virtual_clock, body)

    def test_revision_is_store_wide(self, virtual_clock: MockClock) -> None:
        """Each write of any record gets a higher revision."""

        async def body() -> None:
            client = MemoryStore().client()
            assert await client.write('a', b'', 0) == Ok(1)
            assert await client.write('b', b'', 0) == Ok(2)
            assert await client.delete('a', 1) == Ok(3)
            assert await client.read('a') == Ok(None)
            assert await client.write('a', b'', 0) == Ok(4)
            names = [
                record.name
                for record in (await client.read_prefix('')).unwrap()
            ]
            assert names == ['a', 'b']

        run(virtual_clock, body)

    def test_limit(self, virtual_clock: MockClock) -> None:
        """Content above the size limit is refused without effect."""

        async def body() -> None:
            client = MemoryStore().client()
            refused = await client.write('a', b'x' * 1_000_001, 0)
            assert isinstance(refused.unwrap_err(), Unavailable)
            assert await client.read('a') == Ok(None)

        run(virtual_clock, body)


class TestLease:
    def test_expiry_removes_records(self, virtual_clock: MockClock) -> None:
        """The expiry of a lease removes its records; the lease stays lost."""

        async def body() -> None:
            client = MemoryStore().client()
            lease = (await client.open_lease(2)).unwrap()
            await client.write('a', b'1', 0, lease)
            await trio.sleep(1.5)
            assert await client.keep_alive(lease) == Ok(None)
            await trio.sleep(1.5)
            assert (await client.read('a')).unwrap() is not None
            await trio.sleep(0.5)
            assert await client.read('a') == Ok(None)
            assert await client.keep_alive(lease) == Err(LeaseLost(lease))
            assert await client.write('a', b'', 0, lease) == Err(
                LeaseLost(lease),
            )

        run(virtual_clock, body)

    def test_rewrite_detaches(self, virtual_clock: MockClock) -> None:
        """A record rewritten without its lease outlives the lease."""

        async def body() -> None:
            client = MemoryStore().client()
            lease = (await client.open_lease(1)).unwrap()
            await client.write('a', b'1', 0, lease)
            await client.write('a', b'2', 1)
            await trio.sleep(2)
            assert await client.read('a') == Ok(Versioned('a', b'2', 2))

        run(virtual_clock, body)


class TestWatch:
    def test_timeout(self, virtual_clock: MockClock) -> None:
        """A watch without changes returns empty at its timeout."""

        async def body() -> None:
            client = MemoryStore().client()
            started = trio.current_time()
            assert await client.watch('a', 0, 3) == Ok(())
            assert trio.current_time() - started == pytest.approx(3)
            assert client.counts.total == 1

        run(virtual_clock, body)

    def test_wakes_on_change(self, virtual_clock: MockClock) -> None:
        """A watch reports writes and the removal by an expired lease."""

        async def body() -> None:
            store = MemoryStore()
            reader, writer = store.client(), store.client()
            lease = (await writer.open_lease(5)).unwrap()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.write, 'a', b'1', 0, lease)
                seen = (await reader.watch('a', 0, 100)).unwrap()
            assert seen == (Versioned('a', b'1', 1),)
            gone = (await reader.watch('a', 1, 100)).unwrap()
            assert gone == (Versioned('a', b'', 2),)
            assert trio.current_time() == pytest.approx(5, abs=0.1)

        run(virtual_clock, body)

    def test_outage(self, virtual_clock: MockClock) -> None:
        """A pending watch fails when the store goes down."""

        async def body() -> None:
            store = MemoryStore()
            client = store.client()

            async def stop() -> None:
                await trio.sleep(1)
                store.inject(StoreFaults(down=True))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(stop)
                ended = await client.watch('a', 0, 100)
            assert isinstance(ended.unwrap_err(), Unanswered)

        run(virtual_clock, body)


class TestFaults:
    def test_down(self, virtual_clock: MockClock) -> None:
        """A refused write has no effect."""

        async def body() -> None:
            store = MemoryStore()
            client, other = store.client(), store.client()
            client.inject(StoreFaults(down=True))
            refused = await client.write('a', b'1', 0)
            assert isinstance(refused.unwrap_err(), Unavailable)
            assert await other.read('a') == Ok(None)

        run(virtual_clock, body)

    def test_lost_reply(self, virtual_clock: MockClock) -> None:
        """A write whose reply is lost has taken effect."""

        async def body() -> None:
            client = MemoryStore().client()
            client.inject(StoreFaults(lost_replies=1))
            lost = await client.write('a', b'1', 0)
            assert isinstance(lost.unwrap_err(), Unanswered)
            assert await client.read('a') == Ok(Versioned('a', b'1', 1))
            assert await client.write('a', b'2', 1) == Ok(2)

        run(virtual_clock, body)

    def test_held_write(self, virtual_clock: MockClock) -> None:
        """A held write can take effect after its caller timed out."""

        async def body() -> None:
            store = MemoryStore()
            client, other = store.client(), store.client()
            client.inject(StoreFaults(holds_writes=True, timeout=1))
            held = await client.write('a', b'1', 0)
            assert isinstance(held.unwrap_err(), Unanswered)
            assert await other.read('a') == Ok(None)
            client.release_held()
            assert await other.read('a') == Ok(Versioned('a', b'1', 1))

        run(virtual_clock, body)

    @pytest.mark.parametrize(('delay', 'exists'), [(3, True), (12, False)])
    def test_slow(
        self,
        virtual_clock: MockClock,
        delay: float,
        exists: bool,
    ) -> None:
        """A write that times out takes effect only if it reached the store."""

        async def body() -> None:
            store = MemoryStore()
            client, other = store.client(), store.client()
            client.inject(StoreFaults(delay=delay, timeout=2))
            slow = await client.write('a', b'1', 0)
            assert isinstance(slow.unwrap_err(), Unanswered)
            assert trio.current_time() == pytest.approx(2, abs=0.1)
            assert ((await other.read('a')).unwrap() is not None) is exists

        run(virtual_clock, body)
