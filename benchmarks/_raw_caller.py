"""Caller that costs little, so that it does not bound what is measured."""

import time
from dataclasses import dataclass, field

import trio

from carobwalk.model import Address

_RECEIVE_BYTES = 65_536
_HEAD_END = b'\r\n\r\n'
_LENGTH = b'content-length: '


@dataclass(slots=True)
class Timings:
    """Times of complete answers, in seconds, and the count of others."""

    seconds: list[float] = field(default_factory=list)
    failed: int = 0

    def quantile_ms(self, share: float) -> float:
        """Return a quantile in milliseconds."""
        ordered = sorted(self.seconds)
        return ordered[int(len(ordered) * share)] * 1000


class RawCaller:
    """Sends one small request again and again over one connection.

    Args:
        stream: Connection to an entry, a proxy or a backend server.
        target: Request target.
        timings: Takes the time of each answer.
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

    async def ask(self) -> None:
        """Send the request and read its answer."""
        began = time.perf_counter()
        await self._stream.send_all(self._request)
        head, body = await self._read_head()
        start = head.lower().index(_LENGTH) + len(_LENGTH)
        length = int(head[start:].partition(b'\r\n')[0])
        while len(body) < length:
            body += await self._receive()
        if head.startswith(b'HTTP/1.1 200 '):
            self._timings.seconds.append(time.perf_counter() - began)
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
            raise trio.BrokenResourceError('closed before the whole answer')
        return bytes(chunk)


async def run_closed_loop(
    address: Address,
    target: str,
    callers: int,
    seconds: float,
) -> Timings:
    """Keep ``callers`` requests in flight and return their times."""
    timings = Timings()
    ends_at = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        for _ in range(callers):
            stream = await trio.open_tcp_stream(address.host, address.port)
            caller = RawCaller(stream, target, timings)
            nursery.start_soon(_loop, caller, ends_at)
    return timings


async def run_paced(
    address: Address,
    target: str,
    rate: float,
    seconds: float,
) -> Timings:
    """Send requests one after another at a rate and return their times."""
    timings = Timings()
    stream = await trio.open_tcp_stream(address.host, address.port)
    caller = RawCaller(stream, target, timings)
    began = trio.current_time()
    for number in range(int(rate * seconds)):
        await trio.sleep_until(began + number / rate)
        await caller.ask()
    await stream.aclose()
    return timings


async def _loop(caller: RawCaller, ends_at: float) -> None:
    while trio.current_time() < ends_at:
        await caller.ask()
