"""Tests of the store client over HTTP."""

import pytest
import trio
from result import Ok

from carobwalk.http import HttpClient, HttpRequest, HttpResponse, serve_http
from carobwalk.model import Address
from carobwalk.platform import PlatformStore
from carobwalk.store import (
    Compacted,
    Conflict,
    LeaseId,
    LeaseLost,
    Removed,
    Unanswered,
    Unavailable,
)
from standins.platform import KvHandler, KvStore


class _StoreServer:
    """Store whose answers can be replaced or delayed."""

    def __init__(self) -> None:
        self.store = KvStore()
        self.answer: HttpResponse | None = None
        self.delay = 0
        self._handler = KvHandler(self.store)

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Answer one call."""
        await trio.sleep(self.delay)
        return self.answer or await self._handler(request)


def run_scenario(scenario) -> None:
    """Run a scenario with a store server and a client."""

    async def body() -> None:
        server = _StoreServer()
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        client = PlatformStore(
            HttpClient(),
            Address('127.0.0.1', port),
            timeout=0.5,
        )
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_http, server, listeners)
                await scenario(server, client)
                nursery.cancel_scope.cancel()

    trio.run(body)


class TestCalls:
    def test_write_and_list(self) -> None:
        """Records are listed by prefix, over several pages."""

        async def scenario(server: _StoreServer, client: PlatformStore) -> None:
            for number in range(8):
                written = await client.write(f'a/{number}', b'\x00\xff', 0)
                assert isinstance(written, Ok)
            await client.write('b/1', b'', 0)
            listing = (await client.list_records('a/')).ok_value
            assert [row.name for row in listing.records] == [
                f'a/{number}' for number in range(8)
            ]
            assert {row.content for row in listing.records} == {b'\x00\xff'}
            assert listing.revision == server.store.records.revision

        run_scenario(scenario)

    def test_conflict(self) -> None:
        """A write with a stale revision returns the current record."""

        async def scenario(server: _StoreServer, client: PlatformStore) -> None:
            revision = (await client.write('a', b'1', 0)).ok_value
            failure = (await client.write('a', b'2', 0)).err_value
            assert isinstance(failure, Conflict)
            assert failure.current.revision == revision
            absent = (await client.write('c', b'2', 9)).err_value
            assert absent == Conflict(None)
            assert isinstance(await client.remove('a', revision), Ok)

        run_scenario(scenario)

    def test_watch(self) -> None:
        """A watch returns writes and removals, then waits for changes."""

        async def scenario(server: _StoreServer, client: PlatformStore) -> None:
            start = server.store.records.revision
            server.store.records.put('a/1', b'x')
            server.store.records.remove('a/1')
            changes = (await client.watch_records('a/', start, 5)).ok_value
            assert changes.changes[0].content == b'x'
            assert changes.changes[1] == Removed('a/1', changes.revision)
            after = changes.revision
            unchanged = (await client.watch_records('a/', after, 0.05)).ok_value
            assert unchanged.changes == ()

        run_scenario(scenario)

    def test_watch_of_compacted_history(self) -> None:
        """A watch from a compacted revision fails with ``Compacted``."""

        async def scenario(server: _StoreServer, client: PlatformStore) -> None:
            server.store.records.put('a', b'')
            server.store.records.compact()
            watched = await client.watch_records('a', 1, 5)
            assert watched.err_value == Compacted()

        run_scenario(scenario)

    def test_leases(self) -> None:
        """Records of a lease are removed when it ends."""

        async def scenario(server: _StoreServer, client: PlatformStore) -> None:
            lease = (await client.open_lease(0.2)).ok_value
            await client.write('a', b'', 0, lease)
            assert isinstance(await client.keep_alive(lease), Ok)
            assert isinstance(await client.end_lease(lease), Ok)
            assert (await client.list_records('a')).ok_value.records == ()
            for lost in (
                await client.keep_alive(lease),
                await client.write('a', b'', 0, LeaseId('99')),
            ):
                assert isinstance(lost.err_value, LeaseLost)

        run_scenario(scenario)


class TestUndecodableContent:
    # Guards against a foreign record that ends the follower of its prefix.
    @pytest.mark.parametrize('value', ['a', '%', '\u00e9\u00e9\u00e9\u00e9'])
    def test_listed_as_empty(self, value: str) -> None:
        """A record whose content is no base64 text is listed as empty."""

        async def scenario(server: _StoreServer, client: PlatformStore) -> None:
            row = f'{{"key":"a","value":"{value}","revision":3}}'
            server.answer = HttpResponse(
                status=200,
                body=f'{{"items":[{row}],"as_of":3}}'.encode(),
            )
            listing = (await client.list_records('a')).ok_value
            assert [record.content for record in listing.records] == [b'']

        run_scenario(scenario)


class TestFailures:
    @pytest.mark.parametrize(
        ('status', 'expected'),
        [(503, Unavailable), (429, Unavailable), (500, Unanswered)],
    )
    def test_unexpected_statuses(self, status: int, expected: type) -> None:
        """Only statuses 429 and 503 mean that a call was not executed."""

        async def scenario(server: _StoreServer, client: PlatformStore) -> None:
            server.answer = HttpResponse(status)
            for answered in (
                await client.list_records('a'),
                await client.watch_records('a', 1, 0.1),
                await client.write('a', b'', 0),
                await client.open_lease(1),
                await client.keep_alive(LeaseId('1')),
            ):
                assert isinstance(answered.err_value, expected)

        run_scenario(scenario)

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'{"items":3}',
            b'\xff',
            b'{"items":[{"key":"\xff"}]}',
            b'{"more":%s' % (b'[' * 20_000),
        ],
        ids=['empty', 'type', 'binary', 'text', 'nested'],
    )
    def test_undecodable_answer(self, body: bytes) -> None:
        """After an undecodable answer the outcome is unknown."""

        async def scenario(server: _StoreServer, client: PlatformStore) -> None:
            server.answer = HttpResponse(200, body=body)
            assert isinstance(
                (await client.list_records('a')).err_value,
                Unanswered,
            )
            assert isinstance(
                (await client.write('a', b'', 0)).err_value,
                Unanswered,
            )

        run_scenario(scenario)

    def test_undecodable_conflict(self) -> None:
        """After a conflict that can't be decoded the outcome is unknown."""

        async def scenario(server: _StoreServer, client: PlatformStore) -> None:
            for body in (b'', b'{"more":%s' % (b'[' * 20_000)):
                server.answer = HttpResponse(412, body=body)
                written = await client.write('a', b'', 0)
                assert isinstance(written.err_value, Unanswered)

        run_scenario(scenario)

    def test_late_answer(self) -> None:
        """After a timeout a call may have taken effect."""

        async def scenario(server: _StoreServer, client: PlatformStore) -> None:
            server.delay = 1
            written = await client.write('a', b'', 0)
            assert isinstance(written.err_value, Unanswered)

        run_scenario(scenario)

    def test_refused_connection(self) -> None:
        """A call whose connection was refused had no effect."""

        async def body() -> None:
            client = PlatformStore(HttpClient(), Address('127.0.0.1', 1))
            written = await client.write('a', b'', 0)
            assert isinstance(written.err_value, Unavailable)

        trio.run(body)
