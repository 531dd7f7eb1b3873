"""Stand-in of a backend server, as PROTOCOL.md describes it."""

import asyncio
import json
import random
import time
from itertools import count

from common.case import Fleet
from common.wire import Answer, HttpServer, Message

_ids = count(1)


class Backend:
    """A backend server with slots; it registers itself in the store.

    ``extra`` holds header fields that each of its answers bears.
    """

    def __init__(self, fleet: Fleet, service: str, seconds: float) -> None:
        self.fleet = fleet
        self.service = service
        self.seconds = seconds
        self.id = f'i-{next(_ids):08x}'
        self.host = fleet.address()
        self.port = 0
        self.slots = 4
        self.extra: dict[str, str] = {}
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[str] = []
        self.is_up = False
        self.waiting = 0
        self._born = 0
        self._sequence = 0
        self._slots = asyncio.Semaphore(self.slots)
        self._server = HttpServer(self.answer)

    async def start(self) -> None:
        """Start a new life at the same address and register."""
        self._server = HttpServer(self.answer)
        self._slots = asyncio.Semaphore(self.slots)
        self.port = await self._server.listen(self.host, self.port)
        self._born = int(time.time() * 1000)
        self.is_up = True
        self.register()

    def register(self, state: str = 'ready') -> None:
        """Write the entry."""
        self._sequence += 1
        self.fleet.store.put(
            f'servers/{self.id}',
            {
                'service': self.service,
                'address': f'{self.host}:{self.port}',
                'zone': 'zone-a',
                'version': 'v1',
                'slots': self.slots,
                'state': state,
                'warmup_left_s': 0,
                'sequence': self._sequence,
                'born': self._born,
            },
        )

    def unregister(self) -> None:
        """Remove the entry, as the store does after some silence."""
        self.fleet.store.delete(f'servers/{self.id}')

    def crash(self) -> None:
        """End the process: connections are reset, new ones are refused."""
        self.is_up = False
        self._server.close()

    async def answer(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> Answer | None:
        """Answer one request."""
        record = self.fleet.record
        attempt = message.headers.get('attempt-id', '')
        if message.target == '/health':
            return Answer(200, {'Instance-Id': self.id})
        self.arrivals.append((record.now(), attempt))
        expected = message.headers.get('target-instance', self.id)
        if expected != self.id:
            return self._make(421, attempt, {'Not-Executed': '1'})
        refusal = self.refuse(message, attempt)
        if refusal is not None:
            record.write(f'{self.id}: {attempt} rejected, {refusal.status}')
            return refusal
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            refusal = self.refuse_late(message, attempt)
            if refusal is not None:
                return refusal
            self.runs.append(attempt)
            record.write(f'{self.id}: {attempt} runs')
            await self.work(message)
        if not self.is_up:
            return None
        return self._make(200, attempt, {'Response-Signature': '1.2.3'})

    def refuse(self, message: Message, attempt: str) -> Answer | None:
        """Return a rejection, ``None`` if the request may run."""
        return None

    def refuse_late(self, message: Message, attempt: str) -> Answer | None:
        """Return a rejection of a request that has waited for a slot."""
        return None

    async def work(self, message: Message) -> None:
        """Work at a request."""
        await asyncio.sleep(self.seconds)

    def _make(
        self, status: int, attempt: str, headers: dict[str, str]
    ) -> Answer:
        fields = {'Attempt-Id': attempt, **headers, **self.extra}
        body = b'' if 'Not-Executed' in headers else b'done'
        return Answer(status, fields, body)


def configuration(version: int, routes: list[dict], services: dict) -> dict:
    """Return the operator's configuration.

    Args:
        version: Number of the version.
        routes: Rules, as under ``rule_set``.
        services: Whether each service is divided by key, by name.
    """
    return {
        'version': f'r{version}',
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 67_108_864,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
        'listeners': [{'host': 'example', 'rule_set': routes}],
        'clusters': [
            {
                'name': name,
                'health_path': '/health',
                'max_conns': 130,
                'protocol': 'h1',
                'tls': False,
                'sharded': is_keyed,
            }
            for name, is_keyed in services.items()
        ],
    }


def route(prefix: str, service: str, kind: str, timeout: float) -> dict:
    """Return a rule of the configuration."""
    return {
        'name': prefix.strip('/'),
        'kind': kind,
        'target_latency_s': timeout / 4,
        'priority': 0,
        'match': {'prefix': prefix},
        'action': {
            'service': service,
            'timeout_s': timeout,
            'max_attempts': 2,
        },
    }


class _HeldKeys:
    """A range of keys that a backend server holds until some time."""

    def __init__(self, order: dict, until: float) -> None:
        self.first = order['from']
        self.last = order['to']
        self.fence = order['fence']
        self.until = until


class KeyedBackend(Backend):
    """A backend server that runs requests for the keys that it holds."""

    def __init__(self, fleet: Fleet, service: str, seconds: float) -> None:
        super().__init__(fleet, service, seconds)
        self._held: list[_HeldKeys] = []
        self._fences: list[_HeldKeys] = []
        self._running: list[int] = []

    async def start(self) -> None:
        """Start a new life, which holds no keys."""
        self._held = []
        self._fences = []
        self._running = []
        await super().start()

    def held_ranges(self) -> list[tuple[int, int]]:
        """Return first and last key of what the backend server holds now."""
        now = time.monotonic()
        return [
            (held.first, held.last) for held in self._held if now < held.until
        ]

    def holds(self, key: int) -> bool:
        """Return whether the backend server holds a key now."""
        now = time.monotonic()
        return any(
            held.first <= key <= held.last and now < held.until
            for held in self._held
        )

    async def answer(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> Answer | None:
        """Answer a request or an order."""
        if message.target == '/grant':
            return self._grant(json.loads(message.body))
        if message.target == '/release':
            return await self._release(json.loads(message.body))
        return await super().answer(message, writer)

    def refuse(self, message: Message, attempt: str) -> Answer | None:
        """Reject a request for a key that isn't held."""
        key = message.headers.get('shard-key')
        if key is None or not self.holds(int(key)):
            return self._make(421, attempt, {'Not-Executed': '1'})
        return None

    def refuse_late(self, message: Message, attempt: str) -> Answer | None:
        """Reject a request whose key was taken away while it waited."""
        return self.refuse(message, attempt)

    async def work(self, message: Message) -> None:
        """Work at a request for a key."""
        key = int(message.headers['shard-key'])
        self._running.append(key)
        try:
            await super().work(message)
        finally:
            self._running.remove(key)

    def _grant(self, order: dict) -> Answer:
        until = time.monotonic() + order['hold_s']
        granted = _HeldKeys(order, until)
        if any(
            known.fence > granted.fence
            and known.first <= granted.last
            and granted.first <= known.last
            for known in self._fences
        ):
            return Answer(409)
        self._fences.append(granted)
        self._take(granted.first, granted.last)
        self._held.append(granted)
        return Answer(200)

    async def _release(self, order: dict) -> Answer:
        first, last = order['from'], order['to']
        self._take(first, last)
        while any(first <= key <= last for key in self._running):
            await asyncio.sleep(0.005)
        return Answer(200, {'Handover': f'{random.getrandbits(64):016x}'})

    def _take(self, first: int, last: int) -> None:
        """Stop holding a range, also where it is part of a grant."""
        kept = []
        for held in self._held:
            for start, end in (
                (held.first, min(held.last, first - 1)),
                (max(held.first, last + 1), held.last),
            ):
                if start <= end:
                    order = {'from': start, 'to': end, 'fence': held.fence}
                    kept.append(_HeldKeys(order, held.until))
        self._held = kept
