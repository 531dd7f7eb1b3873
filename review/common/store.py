"""Stand-in of the platform's key-value store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from common.wire import Answer, HttpServer, Message, json_answer

_PAGE_ITEMS = 500
_TICK_SECONDS = 0.02
_READ_ONLY = ('op/', 'servers/')


class Store:
    """Items, leases and watches; each machine has a port of its own.

    A machine whose name is in ``cut`` gets no answer any more, neither to
    calls that come nor to watches that wait.
    """

    def __init__(self, log: Callable[[str], None]) -> None:
        self.cut: set[str] = set()
        self.calls: dict[str, int] = {}
        self._log = log
        self._items: dict[str, dict] = {}
        self._revision = 10
        self._events: list[dict] = []
        self._lease_number = 100
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._servers: list[HttpServer] = []

    async def listen(self, host: str, machine: str) -> int:
        """Listen for the calls of one machine and return the port."""

        async def handle(message: Message, _: object) -> Answer | None:
            return await self._answer(message, machine)

        server = HttpServer(handle)
        self._servers.append(server)
        return await server.listen(host, 0)

    async def run(self) -> None:
        """End leases until cancelled."""
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            now = time.monotonic()
            for lease, (until, _) in tuple(self._leases.items()):
                if until <= now:
                    self._end_lease(lease)

    def put(self, key: str, content: object) -> None:
        """Write an item as the operator or a backend server does."""
        self._put(key, json.dumps(content).encode(), 0, self._next())
        self._notify()
        self._log(f'store: {key} written at revision {self._revision}')

    def delete(self, key: str) -> None:
        """Remove an item."""
        self._delete(key, self._next())
        self._notify()
        self._log(f'store: {key} removed at revision {self._revision}')

    def find(self, prefix: str) -> dict[str, bytes]:
        """Return the contents of the items with a prefix."""
        return {
            key: base64.b64decode(item['value'])
            for key, item in self._items.items()
            if key.startswith(prefix)
        }

    def _next(self) -> int:
        self._revision += 1
        return self._revision

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _put(self, key: str, content: bytes, lease: int, revision: int) -> None:
        created = self._items.get(key, {'created': revision})['created']
        self._items[key] = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': revision,
            'created': created,
            'lease': lease,
        }
        self._events.append(self._items[key])

    def _delete(self, key: str, revision: int) -> None:
        if self._items.pop(key, None) is not None:
            self._events.append(
                {'key': key, 'revision': revision, 'deleted': True}
            )

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease)
        held = [k for k, item in self._items.items() if item['lease'] == lease]
        for key in held:
            self._delete(key, self._next())
        if held:
            self._log(f'store: lease {lease} ended with {held}')
            self._notify()

    async def _answer(self, message: Message, machine: str) -> Answer | None:
        self.calls[machine] = self.calls.get(machine, 0) + 1
        await self._wait_while_cut(machine)
        url = urlsplit(message.target)
        query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
        name = f'{message.method} {url.path}'
        if name == 'GET /kv-watch':
            answer = await self._watch(query)
        elif name == 'GET /kv-key':
            answer = self._key(query['key'])
        elif name == 'GET /kv-range':
            answer = self._range(query)
        elif name == 'POST /kv-txn':
            answer = self._transact(json.loads(message.body))
        else:
            answer = self._lease_call(message.method, url.path, message.body)
        await self._wait_while_cut(machine)
        return answer

    async def _wait_while_cut(self, machine: str) -> None:
        while machine in self.cut:
            await asyncio.sleep(_TICK_SECONDS)

    def _key(self, key: str) -> Answer:
        item = self._items.get(key)
        if item is None:
            return json_answer(404, {'as_of': self._revision})
        return json_answer(200, {**item, 'as_of': self._revision})

    def _range(self, query: dict[str, str]) -> Answer:
        after = query.get('after', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query['prefix']) and key > after
        )
        page = [self._items[key] for key in keys[:_PAGE_ITEMS]]
        has_more = len(keys) > _PAGE_ITEMS
        return json_answer(
            200,
            {'items': page, 'has_more': has_more, 'as_of': self._revision},
        )

    async def _watch(self, query: dict[str, str]) -> Answer:
        after = int(query['after'])
        until = time.monotonic() + min(int(query['wait_ms']), 30_000) / 1000
        while True:
            found = [
                event
                for event in self._events
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return json_answer(
                    200, {'events': found, 'as_of': self._revision}
                )
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, change: dict) -> Answer:
        expected = change.get('precondition', [])
        current = [
            self._items.get(row['key'], {'key': row['key'], 'revision': 0})
            for row in expected
        ]
        writes = change.get('set_keys', [])
        keys = [row['key'] for row in writes] + change.get('remove', [])
        if any(key.startswith(_READ_ONLY) for key in keys):
            return json_answer(403, {})
        if any(
            item['revision'] != row['revision']
            for item, row in zip(current, expected, strict=True)
        ):
            return json_answer(412, {'items': current, 'as_of': self._revision})
        leases = {row.get('lease', 0) for row in writes} - {0}
        if not leases.issubset(self._leases):
            return json_answer(404, {})
        revision = self._next()
        for row in writes:
            content = base64.b64decode(row['value'])
            self._put(row['key'], content, row.get('lease', 0), revision)
        for key in change.get('remove', []):
            self._delete(key, revision)
        self._notify()
        return json_answer(200, {'revision': revision})

    def _lease_call(self, method: str, path: str, body: bytes) -> Answer:
        now = time.monotonic()
        if path == '/kv-lease':
            ttl = max(float(json.loads(body)['ttl_s_time']), 1)
            self._lease_number += 1
            self._leases[self._lease_number] = (now + ttl, ttl)
            return json_answer(
                200, {'lease': self._lease_number, 'ttl_s_time': ttl}
            )
        lease = int(path.rsplit('/', 1)[1])
        if lease not in self._leases:
            return json_answer(404, {})
        if method == 'DELETE':
            self._end_lease(lease)
            return json_answer(200, {})
        ttl = self._leases[lease][1]
        self._leases[lease] = (now + ttl, ttl)
        return json_answer(200, {'ttl_s_time': ttl})
