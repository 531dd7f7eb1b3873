"""Body of a request as it arrives from the caller."""

import h11
import trio

from carobwalk.http import H11Stream
from carobwalk.model import BodyError


class CallerBody:
    """Reads a request's body from the caller's connection.

    Args:
        connection: The caller's connection, after the head was read.
        stall_seconds: Longest wait for the next part.
    """

    __slots__ = ('_connection', '_stall_seconds', 'is_ended', 'is_started')

    def __init__(self, connection: H11Stream, stall_seconds: float) -> None:
        self.is_started = False
        self.is_ended = connection.protocol.their_state is h11.DONE
        self._connection = connection
        self._stall_seconds = stall_seconds

    async def receive(self) -> bytes:
        """Return the next chunk, ``b''`` at the end.

        Raises:
            BodyError: If the caller went away or sent nothing for too long.
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
        await self._invite()
        event = await self._connection.receive()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        self.is_ended = True
        return b''

    async def _invite(self) -> None:
        """Tell a caller that waits for it to go on (``100-continue``)."""
        if self._connection.protocol.they_are_waiting_for_100_continue:
            await self._connection.send(
                h11.InformationalResponse(status_code=100, headers=[]),
            )
