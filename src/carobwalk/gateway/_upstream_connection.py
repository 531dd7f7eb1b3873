"""One HTTP/1.1 connection to a backend server."""

from typing import Final

import h11
import trio

from carobwalk.gateway._answer_judge import judge_answer
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._header_names import HeaderNames
from carobwalk.gateway._message import announced_idle_seconds, find_header
from carobwalk.gateway._outcomes import AttemptOutcome, Lost
from carobwalk.http import H11Stream

_DUMMY: Final = h11.Request(method='GET', target='/', headers=[('host', 'x')])
_MOST_ANSWER_BYTES: Final = 16_777_216
_MOST_STRAY_ANSWERS: Final = 4
_BROKEN: Final = (
    h11.RemoteProtocolError,
    h11.LocalProtocolError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
# Longer messages are sent while the answer is read.
_WHOLE_BYTES: Final = 16_384


class UpstreamConnection:
    """A connection that carries one request at a time.

    Args:
        stream: Connected stream.
        names: Names of header fields.
    """

    def __init__(self, stream: trio.SocketStream, names: HeaderNames) -> None:
        self.stream = stream
        self.idle_since = trio.current_time()
        self.idle_limit: float | None = None
        self.uses = 0
        self._names = names
        self._http = H11Stream(stream, h11.CLIENT)
        self._is_sent = False
        self._is_sound = False

    @property
    def is_quiet(self) -> bool:
        """Whether the server has neither closed it nor written to it."""
        is_open = self.stream.socket.fileno() >= 0
        return is_open and not self.stream.socket.is_readable()

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow."""
        stray, _ = self._http.protocol.trailing_data
        return (
            self._is_sound
            and self._is_sent
            and not stray
            and self._http.is_reusable
        )

    async def exchange(
        self,
        request: CallerRequest,
        head: h11.Request,
    ) -> AttemptOutcome:
        """Send a request and read its whole answer.

        Args:
            request: The request.
            head: Its head as the server gets it.
        """
        if self.uses:
            self._http.protocol.start_next_cycle()
        self.uses += 1
        self._is_sound = False
        self._is_sent = False
        message = self._http.encode(
            head,
            h11.Data(data=request.body),
            h11.EndOfMessage(),
        )
        if len(message) <= _WHOLE_BYTES:
            await self._send(message)
            return await self._read(request)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, message)
            outcome = await self._read(request)
            nursery.cancel_scope.cancel()
        return outcome

    async def aclose(self) -> None:
        """Close at once, whatever is still unsent or unread."""
        await trio.aclose_forcefully(self.stream)

    async def _send(self, message: bytes) -> None:
        try:
            await self.stream.send_all(message)
        except _BROKEN:
            return  # The reader learns whether an answer came before the end.
        self._is_sent = True

    async def _read(self, request: CallerRequest) -> AttemptOutcome:
        try:
            return await self._read_own(request)
        except _BROKEN as error:
            return Lost(f'{type(error).__name__}: {error}')

    async def _read_own(self, request: CallerRequest) -> AttemptOutcome:
        """Read the answer to a request, past answers to earlier ones."""
        for _ in range(_MOST_STRAY_ANSWERS):
            response = await self._read_head()
            if response is None:
                return Lost('the connection ended without an answer')
            body = await self._http.read_body(_MOST_ANSWER_BYTES)
            if body is None:
                return Lost('the answer is too long')
            answered_id = find_header(response.headers, self._names.request_id)
            if answered_id is None or answered_id == request.id:
                self._is_sound = answered_id is not None
                self.idle_limit = announced_idle_seconds(response.headers)
                return judge_answer(response, body, self._names)
            self._skip_answer()
        return Lost('answers to other requests only')

    async def _read_head(self) -> h11.Response | None:
        event = await self._http.receive()
        while isinstance(event, h11.InformationalResponse):
            event = await self._http.receive()
        return event if isinstance(event, h11.Response) else None

    def _skip_answer(self) -> None:
        """Expect another answer after one that belongs to no request."""
        rest, _ = self._http.protocol.trailing_data
        protocol = h11.Connection(h11.CLIENT)
        protocol.send(_DUMMY)
        protocol.send(h11.EndOfMessage())
        if rest:
            protocol.receive_data(rest)
        self._http.protocol = protocol
