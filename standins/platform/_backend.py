"""Stand-in for a backend server of the users' platform, with faults."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum, unique
from types import MappingProxyType

import h11
import trio

from carobwalk.http import H11Stream
from standins.platform._notices import Arrivals, Notices

_ATTEMPT_ID = b'attempt-id'
_TARGET_INSTANCE = b'target-instance'
_SIGNATURE = (b'response-signature', b'1.2.3')
_NOT_RUN = (b'not-executed', b'1')
_BODY = b'made by the server\n'


@dataclass(frozen=True, slots=True)
class OrderResponse:
    """Response to an order about keys.

    Args:
        status: Status code.
        headers: Header fields.
        has_id: Whether it repeats the id of the order.
        is_repeated: Whether it is sent once more as a late answer.
    """

    status: int = 200
    headers: tuple[tuple[bytes, bytes], ...] = ()
    has_id: bool = True
    is_repeated: bool = False


OrderHandler = Callable[[bytes], Awaitable[OrderResponse]]


@unique
class Fault(StrEnum):
    """Fault of a backend server in the handling of requests."""

    NONE = 'none'
    SHED = 'shed'
    MISDIRECT = 'misdirect'
    REPEATED_REFUSAL = 'repeated_refusal'
    HANG = 'hang'
    RESET = 'reset'
    CUT = 'cut'
    EXTRA = 'extra'
    LATE_EXTRA = 'late_extra'
    UNIDENTIFIED_EXTRA = 'unidentified_extra'
    UNIDENTIFIED_REFUSAL = 'unidentified_refusal'
    REPEATED_ORDER_ANSWER = 'repeated_order_answer'
    UNFRAMED = 'unframed'
    UNSIGNED = 'unsigned'
    NOISE = 'noise'
    FAIL = 'fail'


# Faults that close the connection.
_CLOSING_FAULTS = frozenset(
    (Fault.RESET, Fault.CUT, Fault.NOISE, Fault.UNFRAMED)
)


# Further answers, to no request, that a fault causes after an answer.
_EXTRA_ANSWER = (
    b'HTTP/1.1 200 OK\r\nattempt-id: other\r\n%s: %s\r\n'
    b'content-length: 5\r\n\r\nstray'
) % _SIGNATURE
_LATE_REFUSAL = (
    b'HTTP/1.1 421 Misdirected\r\n%s: %s\r\ncontent-length: 0\r\n\r\n'
) % _NOT_RUN
_LATE_ANSWERS_BY_FAULT = MappingProxyType(
    {
        Fault.LATE_EXTRA: _EXTRA_ANSWER,
        Fault.UNIDENTIFIED_EXTRA: _EXTRA_ANSWER.replace(
            b'attempt-id: other\r\n', b''
        ),
        Fault.UNIDENTIFIED_REFUSAL: _LATE_REFUSAL,
    },
)
_REFUSAL_STATUSES_BY_FAULT = MappingProxyType(
    {Fault.SHED: 503, Fault.REPEATED_REFUSAL: 503, Fault.MISDIRECT: 421},
)


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that the server started to run."""

    id: bytes
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class PlatformBackend:
    """Runs requests over HTTP/1.1.

    Args:
        name: Identity, as in the ``target-instance`` header field.
        seconds: Service time of a request.

    Late answers, which some faults cause, are written just before the answer
    to the next request on the connection. ``REPEATED_REFUSAL`` repeats a
    refusal in this way.

    A connection that is idle for ``idle_timeout`` seconds is abandoned without
    notice; the next request on it causes a reset.
    """

    def __init__(self, name: str, seconds: float = 0) -> None:
        self.name = name
        self.seconds = seconds
        self.fault = Fault.NONE
        self.remaining_faults = 0
        self.idle_timeout = math.inf
        self.requests: list[ReceivedRequest] = []
        self.cancelled_ids: list[bytes] = []
        self.arrivals = Arrivals()
        self.notices = Notices()
        self.connections = 0
        self._handlers_by_target: dict[bytes, OrderHandler] = {}
        self._late_answers_by_connection: dict[H11Stream, bytes] = {}

    def accepts(self, headers: dict[bytes, bytes]) -> bool:
        """Return whether the server accepts a request with these headers."""
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
            self._late_answers_by_connection.pop(http, None)
            await trio.aclose_forcefully(stream)

    async def _serve_next(self, http: H11Stream) -> bool:
        head = await _receive_head(http, self.idle_timeout)
        if head is None:
            return False
        body = await http.read_body(1_000_000) or b''
        late_answer = self._late_answers_by_connection.pop(http, b'')
        if late_answer:
            await http.stream.send_all(late_answer)
        headers = dict(head.headers)
        request_id = headers.get(_ATTEMPT_ID, b'')
        if head.target not in self._handlers_by_target:
            self.arrivals.record(request_id)
        status = self._refusal_status(headers, head.target)
        if status is not None:
            await self._send(
                http,
                status,
                request_id,
                [_NOT_RUN],
                status == 503 and self.fault is Fault.REPEATED_REFUSAL,
            )
            return http.is_reusable
        handler = self._handlers_by_target.get(head.target)
        if handler is not None:
            response = await handler(body)
            await self._send(
                http,
                response.status,
                request_id if response.has_id else b'',
                list(response.headers),
                response.is_repeated,
            )
            return http.is_reusable
        request = ReceivedRequest(
            request_id, head.method, head.target, tuple(head.headers), body
        )
        return await self._run(http, request)

    def _refusal_status(
        self,
        headers: dict[bytes, bytes],
        target: bytes,
    ) -> int | None:
        """Return the status of a refusal, ``None`` if the request may run."""
        if headers.get(_TARGET_INSTANCE, b'').decode() != self.name:
            return 421
        if target in self._handlers_by_target:
            return None
        if not self.accepts(headers):
            return 421
        status = _REFUSAL_STATUSES_BY_FAULT.get(self.fault)
        if status is None or not self.remaining_faults:
            return None
        self.remaining_faults -= 1
        return status

    async def _run(self, http: H11Stream, request: ReceivedRequest) -> bool:
        fault = self._take_fault()
        self.requests.append(request)
        if not await self._work(http, request.id):
            return False
        return await self._answer(http, request.id, fault)

    async def _work(self, http: H11Stream, request_id: bytes) -> bool:
        """Wait for the service time; return whether the peer is connected."""
        if not self.seconds:
            return True
        with trio.move_on_after(self.seconds):
            chunk = await http.stream.receive_some(1)
            if not chunk:
                self.cancelled_ids.append(request_id)
                return False
        return True

    def _take_fault(self) -> Fault:
        if not self.remaining_faults:
            return Fault.NONE
        self.remaining_faults -= 1
        return self.fault

    async def _answer(
        self,
        http: H11Stream,
        request_id: bytes,
        fault: Fault,
    ) -> bool:
        if fault is Fault.HANG:
            await trio.sleep_forever()
        if fault in _CLOSING_FAULTS:
            await http.stream.send_all(_partial_response(fault, request_id))
            return False
        status = 500 if fault is Fault.FAIL else 200
        signature = [] if fault is Fault.UNSIGNED else [_SIGNATURE]
        await self._send(http, status, request_id, signature)
        if fault is Fault.EXTRA:
            await http.stream.send_all(_EXTRA_ANSWER)
        late_answer = _LATE_ANSWERS_BY_FAULT.get(fault)
        if late_answer:
            self._late_answers_by_connection[http] = late_answer
        return http.is_reusable

    async def _send(
        self,
        http: H11Stream,
        status: int,
        request_id: bytes,
        headers: list[tuple[bytes, bytes]],
        is_repeated: bool = False,
    ) -> None:
        encoded = http.encode(
            h11.Response(
                status_code=status,
                headers=[
                    (_ATTEMPT_ID, request_id),
                    (b'instance-id', self.name.encode()),
                    (b'content-length', str(len(_BODY)).encode()),
                    *self.notices.headers(status),
                    *headers,
                ],
            ),
            h11.Data(data=_BODY),
            h11.EndOfMessage(),
        )
        await http.stream.send_all(encoded)
        if is_repeated:
            self._late_answers_by_connection[http] = encoded


async def _receive_head(
    http: H11Stream,
    idle_timeout: float,
) -> h11.Request | None:
    """Return the next request head, ``None`` if the connection ends."""
    started_at = trio.current_time()
    head = await http.receive()
    if trio.current_time() - started_at > idle_timeout:
        # Closing a connection with unread data resets it.
        return None
    return head if isinstance(head, h11.Request) else None


def _partial_response(fault: Fault, request_id: bytes) -> bytes:
    """Return the bytes that a fault sends before it closes the connection."""
    if fault is Fault.CUT:
        return b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf'
    if fault is Fault.NOISE:
        return b'\x00\x01 noise\r\n\r\n'
    if fault is Fault.UNFRAMED:
        head = b'HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\n%s'
        return head % (_ATTEMPT_ID, request_id, *_SIGNATURE, _BODY)
    return b''
