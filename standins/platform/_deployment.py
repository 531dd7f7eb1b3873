"""A deployment of the users' platform in one process."""

import json

import trio

from carobwalk.http import serve_http
from carobwalk.model import Address
from standins.platform._backend import PlatformBackend
from standins.platform._keyed_backend import KeyedBackend
from standins.platform._kv_handler import KvHandler
from standins.platform._kv_store import KvStore

_SERVERS_PER_SERVICE = 3
_SERVICE_SECONDS = 0.02


async def serve_deployment(address: Address) -> None:
    """Serve a store with an operator's configuration, and backend servers.

    Args:
        address: Address of the store; backend servers use free ports.
    """
    store = KvStore()
    async with trio.open_nursery() as nursery:
        for number in range(_SERVERS_PER_SERVICE):
            for service, kind in (
                ('registry', KeyedBackend),
                ('ledger', PlatformBackend),
            ):
                backend = kind(f'{service}-{number}', _SERVICE_SECONDS)
                port = await _listen(backend, nursery)
                store.records.put(
                    f'servers/{backend.name}',
                    _server_entry(service, port),
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


def _server_entry(service: str, port: int) -> bytes:
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
