"""Tests of ``HttpStore`` against the stand-in of the key-value service."""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio
from result import Err, Ok, Result
from trio.testing import MockClock

from carobwalk.http import (
    ConnectFailed,
    HttpClient,
    HttpFailure,
    HttpRequest,
    HttpResponse,
    NoAnswer,
    serve_http,
)
from carobwalk.model import Address
from carobwalk.store import (
    Conflict,
    HttpStore,
    LeaseId,
    LeaseLost,
    Store,
    Unanswered,
    Unavailable,
    Versioned,
)
from standins.store_handler import StoreHandler
from tests.store._senders import FixedSender, HandlerSender

ADDRESS = Address('127.0.0.1', 1)
PendingResult = Awaitable[Result[Any, Any]]
StoreCall = Callable[[Store], PendingResult]
CALLS: tuple[StoreCall, ...] = (
    lambda store: store.read('a'),
    lambda store: store.read_prefix('a'),
    lambda store: store.write('a', b'', 0),
    lambda store: store.delete('a', 1),
    lambda store: store.open_lease(1),
    lambda store: store.keep_alive(LeaseId('lease-1')),
    lambda store: store.watch('a', 0, 1),
)


def control(method: str, path: str, body: bytes = b'') -> HttpRequest:
    """Return a control request for the stand-in."""
    return HttpRequest(method, f'/_control/{path}', body=body)


class TestHttpStore:
    def test_calls(self, virtual_clock: MockClock) -> None:
        """Each call returns the result of the store."""

        async def body() -> None:
            store: Store = HttpStore(HandlerSender(StoreHandler()), ADDRESS)
            blob = bytes(range(256))
            lease = (await store.open_lease(9)).unwrap()
            assert await store.keep_alive(lease) == Ok(None)
            assert await store.write('a', blob, 0, lease) == Ok(1)
            record = Versioned('a', blob, 1)
            assert await store.read('a') == Ok(record)
            assert await store.read_prefix('') == Ok((record,))
            assert await store.write('a', b'', 0) == Err(Conflict(record))
            assert await store.watch('a', 0, 9) == Ok((record,))
            assert await store.watch('a', 1, 2) == Ok(())
            assert await store.delete('a', 1) == Ok(2)
            assert await store.read('a') == Ok(None)
            await trio.sleep(10)
            assert await store.keep_alive(lease) == Err(LeaseLost(lease))

        trio.run(body, clock=virtual_clock)

    def test_faults(self, virtual_clock: MockClock) -> None:
        """A refused write is unavailable, one without a response unanswered."""

        async def body() -> None:
            handler = StoreHandler()
            store = HttpStore(HandlerSender(handler), ADDRESS)
            await handler(control('PUT', 'faults', b'{"down":true}'))
            refused = await store.write('a', b'', 0)
            assert isinstance(refused.unwrap_err(), Unavailable)
            await handler(control('PUT', 'faults', b'{"lost_replies":1}'))
            lost = await store.write('a', b'', 0)
            assert isinstance(lost.unwrap_err(), Unanswered)
            assert await store.read('a') == Ok(Versioned('a', b'', 1))

        trio.run(body, clock=virtual_clock)

    @pytest.mark.parametrize('call', CALLS)
    @pytest.mark.parametrize(
        ('result', 'failure'),
        [
            (Err(ConnectFailed('refused')), Unavailable),
            (Err(NoAnswer('timeout')), Unanswered),
            (Ok(HttpResponse(503)), Unavailable),
            (Ok(HttpResponse(500)), Unanswered),
            (Ok(HttpResponse(200, body=b'{"cut')), Unanswered),
            (Ok(HttpResponse(200, body=b'{"other":[]}')), Unanswered),
            (Ok(HttpResponse(409, body=b'1')), Unanswered),
            (
                Ok(HttpResponse(200, body=b'{"a":%s' % (b'[' * 20_000))),
                Unanswered,
            ),
        ],
    )
    def test_failures(
        self,
        call: StoreCall,
        result: Result[HttpResponse, HttpFailure],
        failure: type,
    ) -> None:
        """Only a call that certainly had no effect is unavailable."""

        async def body() -> None:
            store = HttpStore(FixedSender(result), ADDRESS)
            failed = await call(store)
            assert isinstance(failed.unwrap_err(), failure)

        trio.run(body)

    def test_restart(self) -> None:
        """A write after a restart uses a new connection, not a stale one."""

        async def body() -> None:
            client = HttpClient()
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            port = listeners[0].socket.getsockname()[1]
            store = HttpStore(client, Address('127.0.0.1', port))
            for _ in range(2):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(serve_http, StoreHandler(), listeners)
                    assert await store.write('a', b'', 0) == Ok(1)
                    nursery.cancel_scope.cancel()
                refused = await store.write('a', b'', 1)
                assert isinstance(refused.unwrap_err(), Unavailable)
                listeners = await trio.open_tcp_listeners(
                    port,
                    host='127.0.0.1',
                )

        trio.run(body)
