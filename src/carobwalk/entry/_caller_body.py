"""Request body that is read from the caller's connection."""

import h11
import trio

from carobwalk.http import H11Stream
from carobwalk.model import BodyError


class CallerBody:
    """Reads a request body, chunk by chunk, from the caller's connection.

    Args:
        connection: The caller's connection; the request head has been read.
        stall_seconds: Timeout for the next chunk.
    """

    __slots__ = ('_connection', '_stall_seconds', 'is_ended', 'is_started')

    def __init__(self, connection: H11Stream, stall_seconds: float) -> None:
        self.is_started = False
        self.is_ended = connection.protocol.their_state is h11.DONE
        self._connection = connection
        self._stall_seconds = stall_seconds

    async def receive(self) -> bytes:
        """Return the next chunk, or ``b''`` at the end of the body.

        Raises:
            BodyError: If the caller disconnected, broke the protocol or sent
                nothing for ``stall_seconds``.
        """
        if self.is_ended:
            return b''
        self.is_started = True
        try:
            with trio.fail_after(self._stall_seconds):
                return await self._next_chunk()
        except trio.TooSlowError as error:
            raise BodyError('the caller sent nothing for too long') from error
        except (h11.ProtocolError, trio.BrokenResourceError) as error:
            raise BodyError(f'the caller went away: {error}') from error

    async def _next_chunk(self) -> bytes:
        await self._send_continue()
        event = await self._connection.receive()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        self.is_ended = True
        return b''

    async def _send_continue(self) -> None:
        """Send ``100 Continue`` if the caller waits for it."""
        if self._connection.protocol.they_are_waiting_for_100_continue:
            await self._connection.send(
                h11.InformationalResponse(status_code=100, headers=[]),
            )
