"""A deployment of the users' platform in one process."""

import json

import trio

from carobwalk.http import serve_http
from carobwalk.model import Address
from standins.platform._backend import PlatformBackend
from standins.platform._keyed_backend import KeyedBackend
from standins.platform._kv_handler import KvHandler
from standins.platform._kv_store import KvStore

_SERVERS = 3
_SECONDS = 0.02


async def serve_deployment(address: Address) -> None:
    """Run a store, backend servers and the operator's configuration.

    Args:
        address: Where the store listens; backend servers take free ports.
    """
    store = KvStore()
    async with trio.open_nursery() as nursery:
        for number in range(_SERVERS):
            for service, kind in (
                ('registry', KeyedBackend),
                ('ledger', PlatformBackend),
            ):
                backend = kind(f'{service}-{number}', _SECONDS)
                port = await _listen(backend, nursery)
                store.records.put(
                    f'servers/{backend.name}',
                    _entry(service, port),
                )
        content = json.dumps(_configuration()).encode()
        store.records.put('op/config', content)
        listeners = await trio.open_tcp_listeners(
            address.port,
            host=address.host,
        )
        await serve_http(KvHandler(store), listeners)


async def _listen(backend: PlatformBackend, nursery: trio.Nursery) -> int:
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, backend.serve, listeners)
    return int(listeners[0].socket.getsockname()[1])


def _entry(service: str, port: int) -> bytes:
    return json.dumps(
        {
            'service': service,
            'address': f'127.0.0.1:{port}',
            'zone': 'dc1',
            'slots': 4,
            'state': 'ready',
            'born': 1,
        },
    ).encode()


def _configuration() -> dict[str, object]:
    return {
        'version': 'r1',
        'listeners': [
            {
                'host': 'demo.example',
                'rule_set': [
                    {
                        'name': 'lookups',
                        'kind': 'idempotent',
                        'match': {'prefix': '/lookups/'},
                        'action': {
                            'service': 'registry',
                            'timeout_s': 2,
                            'max_attempts': 2,
                        },
                    },
                    {
                        'name': 'claims',
                        'kind': 'non_idempotent',
                        'priority': 1,
                        'match': {'prefix': '/claims/'},
                        'action': {
                            'service': 'ledger',
                            'timeout_s': 2,
                            'max_attempts': 2,
                        },
                    },
                ],
            },
        ],
        'clusters': [{'name': 'registry', 'sharded': True}, {'name': 'ledger'}],
    }
