"""Caller on raw sockets, cheap enough not to limit the measured throughput."""

import time
from dataclasses import dataclass, field

import trio

from carobwalk.model import Address

_RECEIVE_BYTES = 65_536
_HEAD_END = b'\r\n\r\n'
_LENGTH = b'content-length: '


@dataclass(slots=True)
class Timings:
    """Latencies of the requests of one run.

    Args:
        seconds: Latency of each complete answer, in seconds.
        failed: Number of other answers.
    """

    seconds: list[float] = field(default_factory=list)
    failed: int = 0

    def quantile_ms(self, share: float) -> float:
        """Return a quantile of the latency in milliseconds."""
        ordered = sorted(self.seconds)
        return ordered[int(len(ordered) * share)] * 1000


class RawCaller:
    """Sends the same small request repeatedly over one connection.

    Args:
        stream: Connection to an entry, a proxy or a backend server.
        target: Request target.
        timings: Receives the latency of each answer.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        target: str,
        timings: Timings,
    ) -> None:
        self._stream = stream
        self._timings = timings
        self._request = f'GET {target} HTTP/1.1\r\nhost: a\r\n\r\n'.encode()

    async def send_request(self) -> None:
        """Send the request, read the answer and record its latency."""
        started_at = time.perf_counter()
        await self._stream.send_all(self._request)
        head, body = await self._read_head()
        start = head.lower().index(_LENGTH) + len(_LENGTH)
        length = int(head[start:].partition(b'\r\n')[0])
        while len(body) < length:
            body += await self._receive()
        if head.startswith(b'HTTP/1.1 200 '):
            self._timings.seconds.append(time.perf_counter() - started_at)
        else:
            self._timings.failed += 1

    async def _read_head(self) -> tuple[bytes, bytes]:
        received = b''
        while _HEAD_END not in received:
            received += await self._receive()
        head, _, body = received.partition(_HEAD_END)
        return head, body

    async def _receive(self) -> bytes:
        chunk = await self._stream.receive_some(_RECEIVE_BYTES)
        if not chunk:
            raise trio.BrokenResourceError(
                'connection closed before the answer was complete'
            )
        return bytes(chunk)


async def run_closed_loop(
    address: Address,
    target: str,
    callers: int,
    seconds: float,
) -> Timings:
    """Keep a number of requests in flight and return their latencies.

    Args:
        address: Address to connect to.
        target: Request target.
        callers: Number of connections with one request in flight each.
        seconds: Duration.
    """
    timings = Timings()
    ends_at = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        for _ in range(callers):
            stream = await trio.open_tcp_stream(address.host, address.port)
            caller = RawCaller(stream, target, timings)
            nursery.start_soon(_send_until, caller, ends_at)
    return timings


async def run_paced(
    address: Address,
    target: str,
    rate: float,
    seconds: float,
) -> Timings:
    """Send requests sequentially at a fixed rate and return their latencies.

    Args:
        address: Address to connect to.
        target: Request target.
        rate: Requests per second.
        seconds: Duration.
    """
    timings = Timings()
    stream = await trio.open_tcp_stream(address.host, address.port)
    caller = RawCaller(stream, target, timings)
    started_at = trio.current_time()
    for number in range(int(rate * seconds)):
        await trio.sleep_until(started_at + number / rate)
        await caller.send_request()
    await stream.aclose()
    return timings


async def _send_until(caller: RawCaller, ends_at: float) -> None:
    while trio.current_time() < ends_at:
        await caller.send_request()
