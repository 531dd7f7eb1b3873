"""Bounded reading of answers."""

import re
from http import HTTPStatus
from typing import Final

import h11

from carobwalk.http._answer_memory import AnswerShare
from carobwalk.http._failures import AnswerTooLong, JoinedHeads
from carobwalk.http._h11_stream import H11Stream

_MAX_INFORMATIONAL_ANSWERS: Final = 16
# Limits on the framing of a body: a number of bytes, and as many more as this
# part of the body. Chunks of a few bytes and long extensions without end, which
# cost processor time, exceed them.
_FREE_FRAMING_BYTES: Final = 32_768
_BODY_BYTES_PER_FRAMING_BYTE: Final = 16
# Statuses whose answers have no body, whatever their head says.
BODILESS_STATUSES: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)
_MAX_STATUS: Final = 599
_DELIMITING_FIELDS: Final = frozenset((b'content-length', b'transfer-encoding'))
_HEADS: Final = (h11.Response, h11.InformationalResponse)
_STATUS_LINE: Final = re.compile(rb'HTTP/[0-9][.][0-9] [0-9]{3}(?!\S)')


class AnswerReader:
    """Reads answers of servers that may send bytes without end.

    Args:
        http: HTTP protocol state of the connection.
        max_body_bytes: Maximum size of a body in bytes.
        share: Memory to reserve for the body; by default, none is reserved.
    """

    __slots__ = ('_http', '_max_body_bytes', '_share')

    def __init__(
        self,
        http: H11Stream,
        max_body_bytes: int,
        share: AnswerShare | None = None,
    ) -> None:
        self._http = http
        self._max_body_bytes = max_body_bytes
        self._share = share

    async def read_head(self) -> h11.Response | None:
        """Return the head of the final answer, ``None`` if there is none.

        Raises:
            AnswerTooLong: If there are too many informational answers.
            JoinedHeads: If the head contains another status line.
            h11.RemoteProtocolError: If the server violates the protocol.
            trio.BrokenResourceError: If the connection is lost.
        """
        for _ in range(_MAX_INFORMATIONAL_ANSWERS + 1):
            event = await self._http.receive()
            if not isinstance(event, _HEADS):
                return None
            _check_single(event)
            if isinstance(event, h11.Response):
                _check_status(event)
                return event
        raise AnswerTooLong(
            f'more than {_MAX_INFORMATIONAL_ANSWERS} informational answers',
        )

    async def read_body(self, declared_bytes: int = 0) -> bytes:
        """Return the complete body that follows a head.

        Args:
            declared_bytes: Size that the head declares, 0 if it is unknown.

        Raises:
            AnswerTooLong: If the body or its framing exceeds its limit, or
                there is no memory for it.
            h11.RemoteProtocolError: If the body is incomplete.
            trio.BrokenResourceError: If the connection is lost.
        """
        self._reserve(declared_bytes)
        body = bytearray()
        received_before = self._http.received_bytes
        event = await self._http.receive()
        while isinstance(event, h11.Data):
            body += event.data
            if len(body) > declared_bytes:
                self._reserve(len(body))
            parsed_bytes = self._http.parsed_bytes - received_before
            _check_framing(parsed_bytes - len(body), len(body))
            event = await self._http.receive()
        return bytes(body)

    def _reserve(self, size_bytes: int) -> None:
        if size_bytes > self._max_body_bytes:
            raise AnswerTooLong(
                f'a body longer than {self._max_body_bytes} bytes',
            )
        if self._share is not None and not self._share.grow_to(size_bytes):
            raise AnswerTooLong(f'no memory for {size_bytes} bytes')


def _check_single(head: h11.Response | h11.InformationalResponse) -> None:
    """Reject a cut head that the next answer on the connection continues.

    Its status is that of the first answer, its last fields and its body are
    those of the second.
    """
    texts = [text for _, text in head.headers]
    texts.append(head.reason)
    # A single search takes less time than one for each field.
    if _STATUS_LINE.search(b'\n'.join(texts)):
        raise JoinedHeads('a status line within the head of an answer')


def _check_status(head: h11.Response) -> None:
    """Reject a status beyond those of HTTP; the parser rejects lower ones."""
    if head.status_code > _MAX_STATUS:
        raise h11.RemoteProtocolError(f'status {head.status_code}')


def _check_framing(framing_bytes: int, body_bytes: int) -> None:
    extra_bytes = framing_bytes - _FREE_FRAMING_BYTES
    if extra_bytes > body_bytes // _BODY_BYTES_PER_FRAMING_BYTE:
        raise AnswerTooLong(f'{framing_bytes} bytes of framing')


def declared_length(head: h11.Response, method: bytes) -> int:
    """Return the size in bytes that an answer declares, 0 for none.

    Args:
        head: Head of the answer.
        method: HTTP method of the request.
    """
    if method == b'HEAD' or head.status_code in BODILESS_STATUSES:
        return 0
    fields = dict(head.headers)
    if b'transfer-encoding' in fields:
        return 0
    return int(fields.get(b'content-length', 0))


def is_delimited(head: h11.Response, method: bytes) -> bool:
    """Return whether an answer shows its end by other means than a close.

    Args:
        head: Head of the answer.
        method: HTTP method of the request.
    """
    if method == b'HEAD' or head.status_code in BODILESS_STATUSES:
        return True
    names = {name for name, _ in head.headers}
    return not names.isdisjoint(_DELIMITING_FIELDS)
