"""Bounded reading of answers."""

from typing import Final

import h11

from carobwalk.http._failures import AnswerTooLong
from carobwalk.http._h11_stream import H11Stream

_MAX_INFORMATIONAL_ANSWERS: Final = 16
# Allows bodies of many megabytes in chunks of common sizes, but no chunks of a
# few bytes, which cost processor time, or long extensions and trailers.
_MAX_FRAMING_BYTES: Final = 262_144


class AnswerReader:
    """Reads answers of servers that may send bytes without end.

    Args:
        http: HTTP protocol state of the connection.
        max_body_bytes: Maximum size of a body in bytes.
    """

    __slots__ = ('_http', '_max_body_bytes')

    def __init__(self, http: H11Stream, max_body_bytes: int) -> None:
        self._http = http
        self._max_body_bytes = max_body_bytes

    async def read_head(self) -> h11.Response | None:
        """Return the head of the final answer, ``None`` if there is none.

        Raises:
            AnswerTooLong: If there are too many informational answers.
            h11.RemoteProtocolError: If the server violates the protocol.
            trio.BrokenResourceError: If the connection is lost.
        """
        for _ in range(_MAX_INFORMATIONAL_ANSWERS + 1):
            event = await self._http.receive()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                return None
        raise AnswerTooLong(
            f'more than {_MAX_INFORMATIONAL_ANSWERS} informational answers',
        )

    async def read_body(self) -> bytes:
        """Return the complete body that follows a head.

        Raises:
            AnswerTooLong: If the body or its framing exceeds its limit.
            h11.RemoteProtocolError: If the body is incomplete.
            trio.BrokenResourceError: If the connection is lost.
        """
        body = bytearray()
        max_bytes = self._max_body_bytes
        received_before = self._http.received_bytes
        event = await self._http.receive()
        while isinstance(event, h11.Data):
            body += event.data
            if len(body) > max_bytes:
                raise AnswerTooLong(f'a body longer than {max_bytes} bytes')
            received_bytes = self._http.received_bytes - received_before
            if received_bytes - len(body) > _MAX_FRAMING_BYTES:
                raise AnswerTooLong(
                    f'more than {_MAX_FRAMING_BYTES} bytes of framing',
                )
            event = await self._http.receive()
        return bytes(body)
