"""Caller that sends further requests before the first is answered."""

from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from tests.gateway.harness import GatewayHarness

# Time without any activity after which the virtual clock moves on.
_QUIET_SECONDS = 0.005

Scenario = Callable[[GatewayHarness], Awaitable[None]]


def run_virtually(scenario: Scenario, answer_bytes: int = 50_000_000) -> None:
    """Run a scenario with a started gateway on a virtual clock.

    Args:
        scenario: Scenario to run.
        answer_bytes: Maximum total size of answers in bytes.
    """

    async def body() -> None:
        async with trio.open_nursery() as nursery:
            harness = GatewayHarness(nursery, answer_bytes)
            await harness.start()
            await scenario(harness)
            nursery.cancel_scope.cancel()

    trio.run(body, clock=MockClock(autojump_threshold=_QUIET_SECONDS))


def encode(
    method: str,
    path: str,
    request_id: str,
    body: bytes = b'',
    deadline_ms: int = 500,
) -> bytes:
    """Return the bytes of a request."""
    return (
        f'{method} {path} HTTP/1.1\r\nhost: a.example\r\n'
        f'attempt-id: {request_id}\r\ndeadline-ms: {deadline_ms}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    ).encode() + body


def lookups(count: int, deadline_ms: int = 500) -> bytes:
    """Return the bytes of idempotent requests with the ids id0, id1..."""
    return b''.join(
        encode('GET', '/reads/a', f'id{number}', deadline_ms=deadline_ms)
        for number in range(count)
    )


class PipelinedCaller:
    """Connection of a caller that pipelines requests.

    Args:
        stream: Stream to the gateway.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.milliseconds: list[int] = []
        self.statuses: list[int] = []
        self.ids: list[str] = []
        self.bodies: list[bytes] = []
        self.headers: list[dict[bytes, bytes]] = []
        self._unparsed = b''

    async def receive(self, count: int) -> None:
        """Receive responses; stops early if the gateway closes.

        Args:
            count: Number of responses.
        """
        started_at = trio.current_time()
        for _ in range(count):
            if not await self._receive_one():
                return
            seconds = trio.current_time() - started_at
            self.milliseconds.append(round(seconds * 1000))

    async def _receive_one(self) -> bool:
        while b'\r\n\r\n' not in self._unparsed:
            if not await self._receive_more():
                return False
        head, rest = self._unparsed.split(b'\r\n\r\n', 1)
        self._unparsed = rest
        lines = head.lower().split(b'\r\n')
        headers = dict(tuple(line.split(b': ', 1)) for line in lines[1:])
        size = int(headers.get(b'content-length', 0))
        while len(self._unparsed) < size:
            if not await self._receive_more():
                return False
        self.statuses.append(int(lines[0].split()[1]))
        self.headers.append(headers)
        self.ids.append(headers.get(b'attempt-id', b'').decode())
        self.bodies.append(self._unparsed[:size])
        self._unparsed = self._unparsed[size:]
        return True

    async def _receive_more(self) -> bool:
        chunk = await self.stream.receive_some(65_536)
        self._unparsed += chunk
        return bool(chunk)


async def open_caller(harness: GatewayHarness) -> PipelinedCaller:
    """Open a caller's connection to the gateway."""
    return PipelinedCaller(await trio.open_tcp_stream(*harness.address))
