"""Tests of a router's access to the store of the soak."""

import base64
import json
from http import HTTPStatus

import trio

from carobwalk.http import HttpRequest, HttpResponse
from soak._store_gate import AddressBook, StoreGate
from standins.platform import KvHandler, KvStore

READ = HttpRequest('GET', 'kv-range', {'prefix': 'servers/'})


def _read_through(gate: StoreGate) -> HttpResponse:
    """Return the response to a read of all servers."""

    async def body() -> HttpResponse:
        return await gate(READ)

    return trio.run(body)


def _gates() -> tuple[StoreGate, StoreGate]:
    store = KvStore()
    store.records.put('servers/s1', b'{"address": "127.0.0.1:1"}')
    book = AddressBook()
    book.record('127.0.0.1:1', 'router-1', '127.0.0.1:2')
    handler = KvHandler(store)
    return (
        StoreGate(handler, book.of_router('router-0')),
        StoreGate(handler, book.of_router('router-1')),
    )


class TestStoreGate:
    def test_each_router_reads_its_own_addresses(self) -> None:
        """A registered address is replaced by the router's own link."""
        addresses = []
        for gate in _gates():
            items = json.loads(_read_through(gate).body)['items']
            entry = json.loads(base64.b64decode(items[0]['value']))
            addresses.append(entry['address'])
        assert addresses == ['127.0.0.1:1', '127.0.0.1:2']

    def test_refusal_of_one_router(self) -> None:
        """The store refuses one router while it serves the others."""
        refused, served = _gates()
        refused.refusal = HTTPStatus.TOO_MANY_REQUESTS
        assert _read_through(refused).status == HTTPStatus.TOO_MANY_REQUESTS
        assert _read_through(served).status == HTTPStatus.OK
