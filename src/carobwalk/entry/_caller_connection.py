"""HTTP/1.1 connection of a caller."""

from typing import Final

import h11
import trio
from result import Err, Ok, Result

from carobwalk.entry._caller_body import CallerBody
from carobwalk.entry._caller_sink import CallerSink
from carobwalk.entry._entry_context import EntryContext
from carobwalk.entry._failure_response_writer import FailureResponseWriter
from carobwalk.entry._failures import bad_request, caller_gone, stopping
from carobwalk.entry._request_observer import RequestEnded
from carobwalk.http import H11Stream
from carobwalk.model import (
    CallerGoneError,
    Completion,
    Failure,
    Outcome,
    RequestHead,
    ServerId,
)

_RECEIVE_BYTES: Final = 65_536


class CallerConnection:
    """Serves the requests of one connection sequentially.

    Args:
        stream: Accepted stream; closed when ``run`` ends.
        caller_host: IP address of the caller.
        context: Dependencies shared by all connections.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        caller_host: str,
        context: EntryContext,
    ) -> None:
        self.idle_scope = trio.CancelScope()
        self._context = context
        self._caller_host = caller_host
        self._stream = stream
        self._connection = H11Stream(
            stream,
            h11.SERVER,
            context.limits.header_bytes,
        )
        self._failure_writer = FailureResponseWriter(
            self._connection,
            context.limits.stall_seconds,
        )

    async def run(self) -> None:
        """Serve until either side ends the connection."""
        try:
            while await self._serve_next():
                self._connection.protocol.start_next_cycle()
        except (h11.LocalProtocolError, CallerGoneError):
            return  # An incomplete response is signalled by closing.
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await trio.aclose_forcefully(self._stream)

    async def _serve_next(self) -> bool:
        """Serve one request; return whether the connection can be reused."""
        try:
            event = await self._receive_head()
        except h11.RemoteProtocolError as error:
            await self._failure_writer.send(bad_request(str(error)), '')
            return False
        if not isinstance(event, h11.Request):
            return False
        await self._serve(event)
        if self._context.is_stopping():
            return False
        return self._connection.is_reusable

    async def _receive_head(self) -> h11.Event | type[h11.PAUSED] | None:
        limits = self._context.limits
        self.idle_scope = trio.CancelScope()
        self.idle_scope.deadline = trio.current_time() + limits.idle_seconds
        has_started = bool(self._connection.protocol.trailing_data[0])
        with self.idle_scope:
            if not has_started and not await self._receive_first_bytes():
                return None
        if self.idle_scope.cancelled_caught:
            return None
        with trio.move_on_after(limits.header_seconds):
            return await self._connection.receive()
        return None

    async def _receive_first_bytes(self) -> bool:
        chunk = await self._stream.receive_some(_RECEIVE_BYTES)
        self._connection.protocol.receive_data(bytes(chunk))
        return bool(chunk)

    async def _serve(self, event: h11.Request) -> None:
        classified = self._context.classifier.classify(event, self._caller_host)
        if isinstance(classified, Err):
            await self._failure_writer.send(classified.err_value, '')
            return
        head = classified.ok_value
        if self._context.is_stopping():
            await self._failure_writer.send(stopping(), head.request_id)
            return
        if head.body_length == 0:
            # h11 already holds the end of an empty body; consume it here.
            self._connection.protocol.next_event()
        started_at = trio.current_time()
        sink = CallerSink(
            self._connection,
            head.request_id,
            self._context.limits.stall_seconds,
        )
        result = await self._run(head, sink)
        seconds = trio.current_time() - started_at
        self._context.observer.observe(_summarise(head, result, seconds))
        if isinstance(result, Ok):
            await sink.finish()
        elif sink.is_started:
            raise CallerGoneError(result.err_value.detail)
        else:
            await self._failure_writer.send(result.err_value, head.request_id)

    async def _run(
        self,
        head: RequestHead,
        sink: CallerSink,
    ) -> Result[Completion, Failure]:
        limits = self._context.limits
        body = CallerBody(self._connection, limits.stall_seconds)
        if not body.is_ended:
            return await self._route(head, body, sink)
        result: Result[Completion, Failure] = Err(caller_gone())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_disconnect, nursery.cancel_scope)
            result = await self._route(head, body, sink)
            nursery.cancel_scope.cancel()
        return result

    async def _route(
        self,
        head: RequestHead,
        body: CallerBody,
        sink: CallerSink,
    ) -> Result[Completion, Failure]:
        try:
            return await self._context.router.route(head, body, sink)
        except (CallerGoneError, h11.LocalProtocolError):
            return Err(caller_gone())

    async def _watch_for_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel ``scope`` if the caller disconnects.

        After a complete request, the only bytes that may still arrive belong
        to a pipelined request; h11 buffers them until the response is sent.
        """
        try:
            chunk = await self._stream.receive_some(_RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()
            return
        if chunk:
            self._connection.protocol.receive_data(bytes(chunk))
        else:
            scope.cancel()


def _summarise(
    head: RequestHead,
    result: Result[Completion, Failure],
    seconds: float,
) -> RequestEnded:
    failure = None if isinstance(result, Ok) else result.err_value
    completion = result.ok_value if isinstance(result, Ok) else None
    return RequestEnded(
        request=head.request_id,
        service=head.service,
        rank=head.rank,
        outcome=failure.outcome if failure else Outcome.COMPLETE,
        failure=failure.kind if failure else None,
        server=ServerId(completion.server) if completion else None,
        seconds=seconds,
        sent_bytes=completion.sent_bytes if completion else 0,
        received_bytes=completion.received_bytes if completion else 0,
    )
