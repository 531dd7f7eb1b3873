"""Stand-in of the platform's store, after ``PROTOCOL.md`` and the news."""

import asyncio
import base64
import json
import time
from copy import deepcopy
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from review.standins_2.wire import (
    CONNECTION_ERRORS,
    Message,
    read_message,
    response,
)

_PAGE = 500
_POLL = 0.02


@dataclass
class Item:
    """An item of the store."""

    value: str
    revision: int
    created: int
    lease: int = 0


@dataclass
class Content:
    """All that a copy of the store holds."""

    revision: int = 100
    items: dict[str, Item] = field(default_factory=dict)
    history: list[dict[str, object]] = field(default_factory=list)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    newest_lease: int = 1000


class Store:
    """Key-value service over HTTP.

    ``is_down`` leaves calls unanswered with 503; ``era`` is the number that
    the header ``Store-Era`` tells.
    """

    def __init__(self) -> None:
        self.content = Content()
        self.era = 1
        self.is_down = False
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def copy(self) -> Content:
        """Return a copy of the content as it is now."""
        return deepcopy(self.content)

    def restore(self, copy: Content) -> None:
        """Come back from a copy; the era rises by one."""
        self.content = deepcopy(copy)
        self.era += 1

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write an item as the operator or a backend does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._set(key, text, lease)

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.content.items.pop(key, None) is None:
            return
        self.content.revision += 1
        self.content.history.append(
            {'key': key, 'revision': self.content.revision, 'deleted': True}
        )

    def _set(self, key: str, value: str, lease: int) -> None:
        content = self.content
        content.revision += 1
        old = content.items.get(key)
        created = old.created if old else content.revision
        item = Item(value, content.revision, created, lease)
        content.items[key] = item
        content.history.append(_row(key, item))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await read_message(reader):
                status, body = await self._answer(request)
                headers: dict[str, object] = {
                    'Content-Type': 'application/json',
                    'Store-Era': self.era,
                }
                encoded = json.dumps(body).encode()
                writer.write(response(status, headers, encoded))
                await writer.drain()
        except (asyncio.CancelledError, *CONNECTION_ERRORS):
            pass  # The run or the connection has ended.
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, object]:
        if self.is_down:
            return 503, {}
        self._expire_leases()
        parts = urlsplit(request.first[1])
        query = {key: row[0] for key, row in parse_qs(parts.query).items()}
        name, _, number = parts.path.strip('/').partition('/')
        match name:
            case 'kv-key':
                return self._key(query['key'])
            case 'kv-range':
                return self._range(query)
            case 'kv-watch':
                return await self._watch(query)
            case 'kv-txn':
                return self._transact(json.loads(request.body))
            case 'kv-lease':
                return self._open_lease(json.loads(request.body))
            case 'kv-keep':
                return self._keep(int(number))
            case 'kv-lease-end':
                return self._end_lease(int(number))
        return 404, {}

    def _key(self, key: str) -> tuple[int, object]:
        item = self.content.items.get(key)
        if item is None:
            return 404, {}
        return 200, _row(key, item) | {'as_of': self.content.revision}

    def _range(self, query: dict[str, str]) -> tuple[int, object]:
        prefix, after = query['prefix'], query.get('after', '')
        found = [
            _row(key, item)
            for key, item in sorted(self.content.items.items())
            if key.startswith(prefix) and key > after
        ]
        return 200, {
            'items': found[:_PAGE],
            'has_more': len(found) > _PAGE,
            'as_of': self.content.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        era = self.era
        prefix, after = query['prefix'], int(query['after'])
        until = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            if self.is_down:
                return 503, {}
            content = self.content
            if after > content.revision or era != self.era:
                return 410, {}
            self._expire_leases()
            events = [
                row
                for row in content.history
                if row['revision'] > after and row['key'].startswith(prefix)
            ]
            if events or time.monotonic() >= until:
                return 200, {'events': events, 'as_of': content.revision}
            await asyncio.sleep(_POLL)

    def _transact(self, call: dict[str, object]) -> tuple[int, object]:
        content = self.content
        keys = [row['key'] for row in call.get('precondition', ())]
        for row in call.get('precondition', ()):
            item = content.items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                found = [
                    _row(key, content.items[key])
                    if key in content.items
                    else {'key': key, 'revision': 0}
                    for key in keys
                ]
                return 412, {'items': found}
        for row in call.get('set_keys', ()):
            if row.get('lease') and row['lease'] not in content.leases:
                return 404, {}
        for row in call.get('set_keys', ()):
            self._set(row['key'], row['value'], row.get('lease') or 0)
        for key in call.get('remove', ()):
            self.remove(key)
        return 200, {'revision': content.revision}

    def _open_lease(self, call: dict[str, float]) -> tuple[int, object]:
        content = self.content
        content.newest_lease += 1
        ttl = call['ttl_s_time']
        content.leases[content.newest_lease] = (ttl, time.monotonic() + ttl)
        return 200, {'lease': content.newest_lease, 'ttl_s_time': ttl}

    def _keep(self, lease: int) -> tuple[int, object]:
        if lease not in self.content.leases:
            return 404, {}
        ttl, _ = self.content.leases[lease]
        self.content.leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {'lease': lease, 'ttl_s_time': ttl}

    def _end_lease(self, lease: int) -> tuple[int, object]:
        if lease not in self.content.leases:
            return 404, {}
        self._drop_lease(lease)
        return 200, {}

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease, (_, until) in tuple(self.content.leases.items()):
            if until <= now:
                self._drop_lease(lease)

    def _drop_lease(self, lease: int) -> None:
        self.content.leases.pop(lease)
        for key, item in tuple(self.content.items.items()):
            if item.lease == lease:
                self.remove(key)


def _row(key: str, item: Item) -> dict[str, object]:
    return {
        'key': key,
        'value': item.value,
        'revision': item.revision,
        'created': item.created,
        'lease': item.lease,
    }
