"""Stand-ins of backend servers, after ``PROTOCOL.md`` and the news."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

from review.standins_2.record import Record
from review.standins_2.store import Store
from review.standins_2.wire import (
    CONNECTION_ERRORS,
    Message,
    read_message,
    response,
)

HEARTBEAT = 0.87
_BODY = b'the whole body'


@dataclass
class Grant:
    """A range of keys that a backend holds."""

    first: int
    last: int
    fence: int
    until: float


class Backend:
    """A backend server with its entry in the store.

    Args:
        id: Its id.
        service: Its service.
        store: Store that it registers in.
        record: Record of the run.
        seconds: Time that a request takes.
        slots: Requests that run at the same time.
        is_keyed: Whether it runs requests only for keys that it holds.
    """

    def __init__(
        self,
        id: str,
        service: str,
        store: Store,
        record: Record,
        *,
        seconds: float = 0.02,
        slots: int = 4,
        is_keyed: bool = False,
    ) -> None:
        self.id = id
        self.service = service
        self.seconds = seconds
        self.slots = slots
        self.is_keyed = is_keyed
        self.address = ''
        self.born = int(time.time() * 1000)
        self.extra: dict[str, object] = {}
        self.ran: list[str] = []
        self.grants: list[Grant] = []
        self.highest_fence = 0
        self.on_request: Callable[[Message], Awaitable[bytes | None]] | None
        self.on_request = None
        self._store = store
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._running = 0
        self._heart: asyncio.Task[None] | None = None

    async def start(self, *, registers: bool = True) -> None:
        """Listen on a free port and register."""
        host, port = '127.0.0.1', 0
        if self.address:
            host, _, text = self.address.partition(':')
            port = int(text)
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        if registers:
            self.register()

    def entry(self, state: str = 'ready') -> dict[str, object]:
        """Return its entry in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'zone-a',
            'version': '1',
            'slots': self.slots,
            'state': state,
            'warmup_left_s': 0,
            'sequence': 1,
            'born': self.born,
        }

    def register(self, state: str = 'ready') -> None:
        """Write its entry."""
        self._store.put(f'servers/{self.id}', self.entry(state))

    def deregister(self) -> None:
        """Remove its entry."""
        self._store.remove(f'servers/{self.id}')

    def stop(self) -> None:
        """End at once; connections are reset and work is lost."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def holds(self, key: int) -> bool:
        """Whether it holds a key now."""
        now = time.monotonic()
        return any(
            grant.first <= key <= grant.last and grant.until > now
            for grant in self.grants
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while request := await read_message(reader):
                answer = await self._answer(request, reader)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.CancelledError, *CONNECTION_ERRORS):
            pass  # The run or the connection has ended.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        attempt = request.headers.get('attempt-id', '')
        common: dict[str, object] = {
            'Attempt-Id': attempt,
            'Instance-Id': self.id,
            **self.extra,
        }
        if request.headers.get('target-instance', self.id) != self.id:
            return response(421, {**common, 'Not-Executed': 1})
        path = request.first[1]
        if path == '/grant':
            return self._grant(json.loads(request.body))
        if path == '/release':
            return self._release(json.loads(request.body))
        if self.on_request is not None:
            answer = await self.on_request(request)
            if answer is not None:
                return answer
        if self.is_keyed and not self.holds(int(request.headers['shard-key'])):
            return response(421, {**common, 'Not-Executed': 1})
        if self._running >= 5 * self.slots:
            return response(503, {**common, 'Not-Executed': 1})
        self._running += 1
        try:
            self.ran.append(attempt)
            self._record.write(f'run {attempt} at {self.id}')
            await asyncio.sleep(self.seconds)
        finally:
            self._running -= 1
        body = b'' if request.first[0] == 'HEAD' else _BODY
        return response(200, {**common, 'Response-Signature': 'signed'}, body)

    def _grant(self, order: dict[str, float]) -> bytes:
        first, last = int(order['from']), int(order['to'])
        fence = int(order['fence'])
        if any(
            grant.fence > fence and grant.first <= last and first <= grant.last
            for grant in self.grants
        ):
            return response(409)
        self._cut(first, last)
        until = time.monotonic() + order['hold_s']
        self.grants.append(Grant(first, last, fence, until))
        self._record.write(f'grant {self.id} {json.dumps(order)}')
        return response(200)

    def _release(self, order: dict[str, float]) -> bytes:
        self._cut(int(order['from']), int(order['to']))
        self._record.write(f'release {self.id} {json.dumps(order)}')
        return response(200, {'Handover': 'handover'})

    def _cut(self, first: int, last: int) -> None:
        kept = []
        for grant in self.grants:
            if grant.last < first or grant.first > last:
                kept.append(grant)
                continue
            if grant.first < first:
                kept.append(
                    Grant(grant.first, first - 1, grant.fence, grant.until)
                )
            if grant.last > last:
                kept.append(
                    Grant(last + 1, grant.last, grant.fence, grant.until)
                )
        self.grants = kept


async def abandon(task: asyncio.Task[object]) -> None:
    """Cancel a task and wait for its end."""
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
