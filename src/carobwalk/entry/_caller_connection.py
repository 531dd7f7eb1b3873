"""One caller's connection."""

from typing import Final

import h11
import trio
from result import Err, Ok, Result

from carobwalk.entry._caller_body import CallerBody
from carobwalk.entry._caller_service import CallerService
from carobwalk.entry._caller_sink import CallerSink
from carobwalk.entry._observer import RequestEnded
from carobwalk.entry._refusal_writer import RefusalWriter
from carobwalk.entry._refusals import bad_request, caller_gone, stopping
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
    """Serves the requests of one connection, one after another.

    Args:
        stream: Connected stream.
        caller_host: IP number of the other side.
        service: What all connections share.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        caller_host: str,
        service: CallerService,
    ) -> None:
        self.idle_scope = trio.CancelScope()
        self._service = service
        self._caller_host = caller_host
        self._stream = stream
        self._connection = H11Stream(
            stream,
            h11.SERVER,
            service.limits.header_bytes,
        )
        self._refusals = RefusalWriter(
            self._connection,
            service.limits.stall_seconds,
        )

    async def run(self) -> None:
        """Serve until either side ends the connection."""
        try:
            while await self._serve_next():
                self._connection.protocol.start_next_cycle()
        except (h11.LocalProtocolError, CallerGoneError):
            return  # An answer broke off: the caller sees the cut connection.
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await trio.aclose_forcefully(self._stream)

    async def _serve_next(self) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            event = await self._receive_head()
        except h11.RemoteProtocolError as error:
            await self._refusals.send(bad_request(str(error)), '')
            return False
        if not isinstance(event, h11.Request):
            return False
        await self._serve(event)
        if self._service.is_stopping():
            return False
        return self._connection.is_reusable

    async def _receive_head(self) -> h11.Event | type[h11.PAUSED] | None:
        limits = self._service.limits
        self.idle_scope = trio.CancelScope()
        self.idle_scope.deadline = trio.current_time() + limits.idle_seconds
        has_started = bool(self._connection.protocol.trailing_data[0])
        with self.idle_scope:
            if not has_started and not await self._receive_first():
                return None
        if self.idle_scope.cancelled_caught:
            return None
        with trio.move_on_after(limits.header_seconds):
            return await self._connection.receive()
        return None

    async def _receive_first(self) -> bool:
        chunk = await self._stream.receive_some(_RECEIVE_BYTES)
        self._connection.protocol.receive_data(bytes(chunk))
        return bool(chunk)

    async def _serve(self, event: h11.Request) -> None:
        classified = self._service.classifier.classify(event, self._caller_host)
        if isinstance(classified, Err):
            await self._refusals.send(classified.err_value, '')
            return
        head = classified.ok_value
        if self._service.is_stopping():
            await self._refusals.send(stopping(), head.request_id)
            return
        if head.body_length == 0:
            # The end of an empty message is read at once, without waiting.
            self._connection.protocol.next_event()
        began = trio.current_time()
        sink = CallerSink(
            self._connection,
            head.request_id,
            self._service.limits.stall_seconds,
        )
        ended = await self._run(head, sink)
        seconds = trio.current_time() - began
        self._service.observer.observe(_describe(head, ended, seconds))
        if isinstance(ended, Ok):
            await sink.finish()
        elif sink.is_started:
            raise CallerGoneError(ended.err_value.detail)
        else:
            await self._refusals.send(ended.err_value, head.request_id)

    async def _run(
        self,
        head: RequestHead,
        sink: CallerSink,
    ) -> Result[Completion, Failure]:
        limits = self._service.limits
        body = CallerBody(self._connection, limits.stall_seconds)
        if not body.is_ended:
            return await self._route(head, body, sink)
        ended: Result[Completion, Failure] = Err(caller_gone())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, nursery.cancel_scope)
            ended = await self._route(head, body, sink)
            nursery.cancel_scope.cancel()
        return ended

    async def _route(
        self,
        head: RequestHead,
        body: CallerBody,
        sink: CallerSink,
    ) -> Result[Completion, Failure]:
        try:
            return await self._service.router.route(head, body, sink)
        except (CallerGoneError, h11.LocalProtocolError):
            return Err(caller_gone())

    async def _watch(self, scope: trio.CancelScope) -> None:
        """Cancel the request when its caller goes away.

        A caller that has sent its request sends nothing more but the next
        request, which h11 keeps until this one is answered.
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


def _describe(
    head: RequestHead,
    ended: Result[Completion, Failure],
    seconds: float,
) -> RequestEnded:
    failure = None if isinstance(ended, Ok) else ended.err_value
    completion = ended.ok_value if isinstance(ended, Ok) else None
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
