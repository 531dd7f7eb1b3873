"""The store client when the store is restored from an older copy."""

from collections.abc import Awaitable, Callable

import trio
from result import Ok

from carobwalk.http import HttpRequest, HttpResponse
from carobwalk.model import Address
from carobwalk.platform import PlatformStore
from carobwalk.store import (
    Compacted,
    Conflict,
    LeaseLost,
    Unanswered,
    era_of_revision,
)
from standins.platform import KvHandler, KvStore, restore, take_copy

_TTL_SECONDS = 5.0
_MARGIN_SECONDS = 1.0


class _Sender:
    """Sends calls straight to a store.

    Args:
        store: The store.
    """

    def __init__(self, store: KvStore) -> None:
        self._handler = KvHandler(store)

    async def send(
        self, address: Address, request: HttpRequest, timeout: float
    ) -> Ok[HttpResponse]:
        """Return the answer of the store."""
        return Ok(await self._handler(request))


def _run(
    scenario: Callable[[KvStore, PlatformStore], Awaitable[None]],
) -> None:
    store = KvStore()
    client = PlatformStore(_Sender(store), Address('127.0.0.1', 1))
    trio.run(scenario, store, client)


class TestRestore:
    def test_revisions_rise(self) -> None:
        """Reissued revisions order after those of the era before.

        Guards against a relay or a fence that takes an older state for newer.
        """

        async def scenario(store: KvStore, client: PlatformStore) -> None:
            copy = take_copy(store)
            for number in range(3):
                await client.write(f'a/{number}', b'', 0)
            before = (await client.list_records('a/')).ok_value.revision
            restore(store, copy)
            listing = (await client.list_records('a/')).ok_value
            assert listing.records == ()
            written = (await client.write('a/0', b'', 0)).ok_value
            assert before < listing.revision < written
            assert era_of_revision(written) == 1

        _run(scenario)

    def test_watch_of_the_era_before(self) -> None:
        """A watch from a revision of an earlier era asks for a listing.

        Guards against missed changes: the store may have issued the revision
        again for another change.
        """

        async def scenario(store: KvStore, client: PlatformStore) -> None:
            copy = take_copy(store)
            written = (await client.write('a/0', b'', 0)).ok_value
            restore(store, copy)
            store.records.put('a/1', b'')
            watched = await client.watch_records(
                'a/', written, 0, _MARGIN_SECONDS
            )
            assert watched.err_value == Compacted()

        _run(scenario)

    def test_reissued_revision(self) -> None:
        """A condition on a revision of an earlier era never holds.

        Guards against a write over a record that was written since.
        """

        async def scenario(store: KvStore, client: PlatformStore) -> None:
            copy = take_copy(store)
            written = (await client.write('a/0', b'old', 0)).ok_value
            restore(store, copy)
            store.records.put('a/0', b'new')
            await client.list_records('a/')
            again = await client.write('a/0', b'mine', written)
            assert again.err_value == Conflict(None)
            assert store.records.get('a/0').content == b'new'

        _run(scenario)

    def test_unnoticed_restore(self) -> None:
        """A write that meets a reissued revision unnoticed isn't confirmed."""

        async def scenario(store: KvStore, client: PlatformStore) -> None:
            copy = take_copy(store)
            written = (await client.write('a/0', b'old', 0)).ok_value
            restore(store, copy)
            store.records.put('a/0', b'new')
            again = await client.write('a/0', b'mine', written)
            assert isinstance(again.err_value, Unanswered)

        _run(scenario)

    def test_reissued_lease(self) -> None:
        """A lease of an earlier era is lost, though its number exists again.

        Guards against two holders of one role.
        """

        async def scenario(store: KvStore, client: PlatformStore) -> None:
            copy = take_copy(store)
            lease = (await client.open_lease(_TTL_SECONDS)).ok_value
            restore(store, copy)
            other = (await client.open_lease(_TTL_SECONDS)).ok_value
            assert other != lease
            renewed = await client.keep_alive(lease)
            assert renewed.err_value == LeaseLost(lease)
            written = await client.write('a/0', b'', 0, lease)
            assert written.err_value == LeaseLost(lease)
            assert isinstance(await client.keep_alive(other), Ok)

        _run(scenario)

    def test_late_answer(self) -> None:
        """An answer of an earlier era that arrives late is left out.

        Guards against a listing that takes back what is known of the new era.
        """

        async def scenario(store: KvStore, client: PlatformStore) -> None:
            store.era = 2
            assert isinstance(await client.list_records('a/'), Ok)
            store.era = 1
            listed = await client.list_records('a/')
            assert isinstance(listed.err_value, Unanswered)

        _run(scenario)
