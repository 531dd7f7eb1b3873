"""HTTP/1.1 connection to a backend server."""

from typing import Final

import h11
import trio

from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._header_fields import (
    find_header,
    keep_alive_timeout_seconds,
)
from carobwalk.gateway._header_names import HeaderNames
from carobwalk.gateway.upstream._answer_classifier import classify_answer
from carobwalk.gateway.upstream._carried_ids import CarriedIds
from carobwalk.gateway.upstream._outcomes import AttemptOutcome, Lost
from carobwalk.http import (
    AnswerReader,
    AnswerTooLong,
    H11Stream,
    JoinedHeads,
    declared_length,
    error_detail,
    is_delimited,
)

_MAX_ANSWER_BYTES: Final = 16_777_216
_MAX_STRAY_ANSWERS: Final = 4
_CONNECTION_ERRORS: Final = (
    AnswerTooLong,
    JoinedHeads,
    h11.RemoteProtocolError,
    h11.LocalProtocolError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
# Longest message that is sent completely before the answer is read. During a
# longer one the answer is read concurrently.
_SEQUENTIAL_SEND_BYTES: Final = 16_384
# Event loop iterations within which an error of sending that preceded the end
# of the answer is recorded: a call of the system is followed by a checkpoint.
_SEND_ERROR_TICKS: Final = 3


class UpstreamConnection:
    """Connection that carries one request at a time.

    Args:
        stream: Stream to the backend server.
        names: Names of the header fields of answers.
    """

    def __init__(self, stream: trio.SocketStream, names: HeaderNames) -> None:
        self.stream = stream
        self.idle_since = trio.current_time()
        self.idle_limit_seconds: float | None = None
        self.use_count = 0
        self.carried_ids = CarriedIds()
        self._names = names
        self._http = H11Stream(stream, h11.CLIENT)
        self._is_sent = False
        self._send_error: Exception | None = None
        self._has_answer_id = False

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open with nothing to read.

        Data that arrives between requests, or its end, makes it unusable.
        """
        is_open = self.stream.socket.fileno() >= 0
        return is_open and not self.stream.socket.is_readable()

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        stray, _ = self._http.protocol.trailing_data
        is_matched = self._has_answer_id and self._is_sent and not stray
        return (
            is_matched
            and not self.carried_ids.is_full
            and self._http.is_reusable
        )

    async def exchange(
        self,
        request: CallerRequest,
        head: h11.Request,
    ) -> AttemptOutcome:
        """Send a request and read its complete answer.

        Args:
            request: The request; ``carried_ids`` must admit its id.
            head: Head to send to the server.
        """
        if self.use_count:
            self._http.protocol.start_next_cycle()
        self.use_count += 1
        self.carried_ids.add(request.id)
        self._has_answer_id = False
        self._is_sent = False
        self._send_error = None
        message = self._http.encode(
            head,
            h11.Data(data=request.body),
            h11.EndOfMessage(),
        )
        if len(message) <= _SEQUENTIAL_SEND_BYTES:
            await self._send(message)
            return await self._read(request)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, message)
            outcome = await self._read(request)
            nursery.cancel_scope.cancel()
        return outcome

    async def aclose(self) -> None:
        """Close immediately, discarding unsent and unread data."""
        await trio.aclose_forcefully(self.stream)

    async def _send(self, message: bytes) -> None:
        try:
            await self.stream.send_all(message)
        except _CONNECTION_ERRORS as error:
            # The reader finds out whether an answer was received.
            self._send_error = error
            return
        self._is_sent = True

    async def _read(self, request: CallerRequest) -> AttemptOutcome:
        try:
            return await self._read_matching(request)
        except _CONNECTION_ERRORS as error:
            request.answer_share.release()
            return Lost(error_detail(error))

    async def _read_matching(self, request: CallerRequest) -> AttemptOutcome:
        """Read the answer to a request, skipping answers to others.

        An answer without an id counts only if it is the first one on the
        connection: any other may belong to an earlier request.
        """
        is_first = self.use_count == 1
        for _ in range(_MAX_STRAY_ANSWERS):
            share = request.answer_share
            share.release()
            reader = AnswerReader(self._http, _MAX_ANSWER_BYTES, share)
            response = await reader.read_head()
            if response is None:
                return Lost('the connection ended without an answer')
            body = await reader.read_body(
                declared_length(response, request.method)
            )
            if not is_delimited(response, request.method):
                await self._check_end()
            answered_id = find_header(response.headers, self._names.request_id)
            if not answered_id and not is_first:
                return Lost('an answer without an id on a used connection')
            if not answered_id or answered_id == request.id:
                self._has_answer_id = bool(answered_id)
                self.idle_limit_seconds = keep_alive_timeout_seconds(
                    response.headers
                )
                return classify_answer(response, body, self._names)
            self._skip_answer(request.method)
            is_first = False
        return Lost('answers to other requests only')

    async def _check_end(self) -> None:
        """Reject an answer without a length that ends during the sending.

        Only the end of the connection delimits it, and a server that has more
        of the request to read may have ended for any reason. The system also
        reports a reset once, to the sending or the receiving task. If the
        sending one gets it, the other sees an ordinary end.

        Raises:
            h11.RemoteProtocolError: If the request was not sent completely.
        """
        for _ in range(_SEND_ERROR_TICKS):
            await trio.lowlevel.checkpoint()
        if self._send_error is not None:
            raise self._send_error
        if not self._is_sent:
            raise h11.RemoteProtocolError(
                'an answer without a length, before the request was sent'
            )

    def _skip_answer(self, method: bytes) -> None:
        """Reset the parser to read a further answer to the same request.

        The parser accepts one answer per request, so a placeholder request is
        registered with a new parser, which gets the data not yet parsed. The
        method tells the parser whether the answer has a body.
        """
        rest, _ = self._http.protocol.trailing_data
        protocol = h11.Connection(h11.CLIENT)
        placeholder = h11.Request(
            method=method, target='/', headers=[('host', 'x')]
        )
        protocol.send(placeholder)
        protocol.send(h11.EndOfMessage())
        if rest:
            protocol.receive_data(rest)
        self._http.protocol = protocol
