"""A slow owner that accepts no more connections loses its keys while it holds.

The backend server is alive all the time and goes on with its queue.
"""

import asyncio
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

from common.backend import (  # noqa: E402
    KeyedBackend,
    configuration,
    route,
)
from common.case import (  # noqa: E402
    BROKEN,
    HELD,
    Fleet,
    Record,
    is_disrupted,
    run_case,
    send,
)
from common.wire import Answer, HttpServer, Message  # noqa: E402

MACHINES = 12
BACKENDS = 6
WORK_SECONDS = 0.6
SLOWNESS = 5.8
SLOW_SECONDS = 6.5
PAUSE_SECONDS = 9.0
ROUNDS = 4
QUEUE = 16
# From this number of waiting requests on, fewer connections are accepted.
LONG_QUEUE = 8
CONNECTIONS_WITH_LONG_QUEUE = 16
MOST_CONNECTIONS = 130
# One in so many answers to grants says `Connection: close`.
ANSWERS_PER_CLOSE = 4
REQUESTS_PER_SECOND = float(os.environ.get('RATE', '28'))
ALLOWED_SECONDS = 0.5
TICK_SECONDS = 0.02


class LimitedServer(HttpServer):
    """Stops listening while it has enough connections; those are served."""

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._writers)

    @property
    def is_listening(self) -> bool:
        """Whether a new connection is accepted."""
        return self._server is not None

    def stop_listening(self) -> None:
        """Reset new connections from now on."""
        if self._server is not None:
            self._server.close()
            self._server = None


class LimitedBackend(KeyedBackend):
    """Resets new connections beyond a number, fewer while its queue is long."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet, 'registry', WORK_SECONDS)
        self.waiting = 0
        self.grants = 0
        self.begun: list[tuple[float, int]] = []

    async def start(self) -> None:
        """Start, and watch the number of connections."""
        await super().start()
        self._server.close()
        self._server = LimitedServer(self.answer)
        await self._server.listen(self.host, self.port)
        self._limiter = asyncio.create_task(self._limit())

    async def _limit(self) -> None:
        server = self._server
        assert isinstance(server, LimitedServer)
        while True:
            await asyncio.sleep(0.002)
            is_long = self.waiting >= LONG_QUEUE
            most = CONNECTIONS_WITH_LONG_QUEUE if is_long else MOST_CONNECTIONS
            if server.connections >= most and server.is_listening:
                server.stop_listening()
                self.fleet.record.write(
                    f'{self.id}: resets new connections, has '
                    f'{server.connections} and {self.waiting} in its queue'
                )
            elif server.connections < most and not server.is_listening:
                await server.listen(self.host, self.port)
                self.fleet.record.write(f'{self.id}: takes new connections')

    def refuse(self, message: Message, attempt: str) -> Answer | None:
        """Reject a request for a key that isn't held, or beyond the queue."""
        if self.waiting > QUEUE:
            return self._make(503, attempt, {'Not-Executed': '1'})
        return super().refuse(message, attempt)

    async def answer(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> Answer | None:
        """Answer a request or an order."""
        if message.target in {'/grant', '/release'}:
            order = message.body.decode()
            self.fleet.record.write(f'{self.id}: {message.target} {order}')
        answer = await super().answer(message, writer)
        if message.target == '/grant' and answer is not None:
            self.grants += 1
            if self.grants % ANSWERS_PER_CLOSE == 0:
                answer.headers['Connection'] = 'close'
                answer.is_last = True
        return answer

    async def work(self, message: Message) -> None:
        """Work at a request."""
        key = int(message.headers['shard-key'])
        self.begun.append((self.fleet.record.now(), key))
        await super().work(message)


class Overlaps:
    """Times for which two backend servers hold the same keys."""

    def __init__(self, backends: list[LimitedBackend], record: Record) -> None:
        self._backends = backends
        self._record = record
        self._since: dict[tuple[int, int], tuple[float, int]] = {}
        self.longest = 0.0
        self.both_begin = 0

    async def watch(self) -> None:
        """Compare what all backend servers hold until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for first in range(len(self._backends)):
                for second in range(first):
                    self._compare(first, second)

    def _compare(self, first: int, second: int) -> None:
        one, other = self._backends[first], self._backends[second]
        common = [
            (max(a, c), min(b, d))
            for a, b in one.held_ranges()
            for c, d in other.held_ranges()
            if max(a, c) <= min(b, d)
        ]
        now = self._record.now()
        pair = first, second
        if not common:
            self._since.pop(pair, None)
            return
        if pair not in self._since:
            self._since[pair] = now, 0
            self._record.write(f'{one.id} and {other.id} both hold {common}')
        since = self._since[pair][0]
        self.longest = max(self.longest, now - since)
        begun = [
            {
                key
                for at, key in backend.begun
                if at >= since and any(a <= key <= b for a, b in common)
            }
            for backend in (one, other)
        ]
        if all(begun):
            self.both_begin += 1


async def call(fleet: Fleet, record: Record) -> None:
    """Send a request for a key to any machine and record its answer."""
    machine = random.choice(fleet.machines)
    attempt = fleet.attempt_id()
    key = random.randrange(65_536)
    headers = {
        'Attempt-Id': attempt,
        'Deadline-Ms': '8000',
        'Shard-Key': str(key),
    }
    target = f'/lookups/{key}'
    try:
        answer = await send(
            machine.host, machine.frontend, 'GET', target, headers
        )
        record.write(f'client: {attempt} key {key} answered {answer.status}')
    except (OSError, asyncio.IncompleteReadError) as error:
        record.write(f'client: {attempt} key {key} failed, {error!r}')


async def send_requests(fleet: Fleet, record: Record) -> None:
    """Send requests until cancelled."""
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
            group.create_task(call(fleet, record))


async def body(fleet: Fleet, record: Record) -> int:
    """Run the case."""
    backends = [LimitedBackend(fleet) for _ in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    rules = [route('/lookups/', 'registry', 'idempotent', 8)]
    fleet.store.put('op/config', configuration(3, rules, {'registry': True}))
    for number in range(MACHINES):
        await fleet.add_machine(f'm{number}')
    await fleet.start_all()
    overlaps = Overlaps(backends, record)
    watching = asyncio.create_task(overlaps.watch())
    requests = asyncio.create_task(send_requests(fleet, record))
    await asyncio.sleep(10)
    for backend in backends[:ROUNDS]:
        if is_disrupted():
            record.write(f'{backend.id}: is slow from now on')
            backend.seconds = WORK_SECONDS * SLOWNESS
        await asyncio.sleep(SLOW_SECONDS)
        record.write(f'{backend.id}: is as fast as before')
        backend.seconds = WORK_SECONDS
        await asyncio.sleep(PAUSE_SECONDS)
    requests.cancel()
    watching.cancel()
    record.conclude(
        f'two backend servers that are up held the same keys for up to '
        f'{overlaps.longest:.2f} s, {ALLOWED_SECONDS} s allowed; '
        f'both began requests for such keys: {overlaps.both_begin > 0}'
    )
    is_broken = overlaps.longest > ALLOWED_SECONDS or overlaps.both_begin
    return BROKEN if is_broken else HELD


if __name__ == '__main__':
    run_case(FOLDER, body)
