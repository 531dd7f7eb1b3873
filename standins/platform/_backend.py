"""Backend server of the users' platform, with faults."""

import math
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum, unique

import h11
import trio

from carobwalk.http import H11Stream

_ID = b'attempt-id'
_EXPECTED = b'target-instance'
_SIGNATURE = (b'response-signature', b'1.2.3')
_NOT_RUN = (b'not-executed', b'1')
_BODY = b'made by the server\n'

HeaderFields = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Answer to an order about keys.

    Args:
        status: Status code.
        headers: Header fields.
    """

    status: int = 200
    headers: tuple[tuple[bytes, bytes], ...] = ()


Order = Callable[[bytes], Awaitable[OrderAnswer]]


@unique
class Fault(StrEnum):
    """What a backend server does wrong with requests."""

    NONE = 'none'
    SHED = 'shed'
    HANG = 'hang'
    RESET = 'reset'
    CUT = 'cut'
    EXTRA = 'extra'
    UNFRAMED = 'unframed'
    UNSIGNED = 'unsigned'
    NOISE = 'noise'
    FAIL = 'fail'


# Faults after which the connection ends.
_ENDINGS = frozenset((Fault.RESET, Fault.CUT, Fault.NOISE, Fault.UNFRAMED))


@dataclass(frozen=True, slots=True)
class Seen:
    """A request that the server began to run."""

    id: bytes
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class PlatformBackend:
    """Runs requests over HTTP/1.1.

    Args:
        name: Identity.
        seconds: Time that a request takes.

    After ``forgets_after`` seconds of rest a connection is forgotten without
    notice: what is sent on it then is reset.
    """

    def __init__(self, name: str, seconds: float = 0) -> None:
        self.name = name
        self.seconds = seconds
        self.fault = Fault.NONE
        self.faults_left = 0
        self.forgets_after = math.inf
        self.seen: list[Seen] = []
        self.dropped: list[bytes] = []
        self.runs_by_id: Counter[bytes] = Counter()
        self.connections = 0
        self._orders_by_target: dict[bytes, Order] = {}

    def runs(self, headers: dict[bytes, bytes]) -> bool:
        """Return whether the server runs a request with these headers."""
        return True

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        http = H11Stream(stream, h11.SERVER)
        try:
            while await self._serve_next(http):
                http.protocol.start_next_cycle()
        except (h11.ProtocolError, trio.BrokenResourceError):
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_next(self, http: H11Stream) -> bool:
        head = await _receive_head(http, self.forgets_after)
        if head is None:
            return False
        body = await http.read_body(1_000_000) or b''
        headers = dict(head.headers)
        request_id = headers.get(_ID, b'')
        status = self._turned_away(headers, head.target)
        if status is not None:
            await self._send(http, status, request_id, [_NOT_RUN])
            return http.is_reusable
        order = self._orders_by_target.get(head.target)
        if order is not None:
            done = await order(body)
            await self._send(http, done.status, request_id, list(done.headers))
            return http.is_reusable
        fields = tuple(head.headers)
        seen = Seen(request_id, head.method, head.target, fields, body)
        return await self._run(http, seen)

    def _turned_away(
        self,
        headers: dict[bytes, bytes],
        target: bytes,
    ) -> int | None:
        """Return the status for what is not run, ``None`` for the rest."""
        if headers.get(_EXPECTED, b'').decode() != self.name:
            return 421
        if target in self._orders_by_target:
            return None
        if not self.runs(headers):
            return 421
        if self.fault is Fault.SHED and self.faults_left:
            self.faults_left -= 1
            return 503
        return None

    async def _run(self, http: H11Stream, seen: Seen) -> bool:
        fault = self._take_fault()
        self.seen.append(seen)
        self.runs_by_id[seen.id] += 1
        if not await self._work(http, seen.id):
            return False
        return await self._answer(http, seen.id, fault)

    async def _work(self, http: H11Stream, request_id: bytes) -> bool:
        """Work on a request; stop when the other side closes."""
        if not self.seconds:
            return True
        with trio.move_on_after(self.seconds):
            chunk = await http.stream.receive_some(1)
            if not chunk:
                self.dropped.append(request_id)
                return False
        return True

    def _take_fault(self) -> Fault:
        if not self.faults_left:
            return Fault.NONE
        self.faults_left -= 1
        return self.fault

    async def _answer(
        self,
        http: H11Stream,
        request_id: bytes,
        fault: Fault,
    ) -> bool:
        if fault is Fault.HANG:
            await trio.sleep_forever()
        if fault in _ENDINGS:
            await http.stream.send_all(_ending(fault, request_id))
            return False
        status = 500 if fault is Fault.FAIL else 200
        signature = [] if fault is Fault.UNSIGNED else [_SIGNATURE]
        await self._send(http, status, request_id, signature)
        if fault is Fault.EXTRA:
            stray = (
                b'HTTP/1.1 200 OK\r\nattempt-id: other\r\n%s: %s\r\n'
                b'content-length: 5\r\n\r\nstray'
            )
            await http.stream.send_all(stray % _SIGNATURE)
        return http.is_reusable

    async def _send(
        self,
        http: H11Stream,
        status: int,
        request_id: bytes,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        await http.send(
            h11.Response(
                status_code=status,
                headers=[
                    (_ID, request_id),
                    (b'instance-id', self.name.encode()),
                    (b'content-length', str(len(_BODY)).encode()),
                    *headers,
                ],
            ),
            h11.Data(data=_BODY),
            h11.EndOfMessage(),
        )


async def _receive_head(
    http: H11Stream,
    forgets_after: float,
) -> h11.Request | None:
    """Return the next head, ``None`` at the end of the connection."""
    began = trio.current_time()
    head = await http.receive()
    if trio.current_time() - began > forgets_after:
        # Closing with unread bytes resets the connection.
        return None
    return head if isinstance(head, h11.Request) else None


def _ending(fault: Fault, request_id: bytes) -> bytes:
    """Return what is sent before the connection ends."""
    if fault is Fault.CUT:
        return b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf'
    if fault is Fault.NOISE:
        return b'\x00\x01 noise\r\n\r\n'
    if fault is Fault.UNFRAMED:
        head = b'HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\n%s'
        return head % (_ID, request_id, *_SIGNATURE, _BODY)
    return b''
