"""Tests of the processor time that bytes that are no HTTP take."""

import time

import h11
import pytest
import trio
from trio.testing import memory_stream_pair

from carobwalk.http import H11Stream

_FILLER = b' ' * 20_000
# About 200 times what a parser takes that reads each byte once.
_MAX_SECONDS = 0.2
_HEAD = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'%stransfer-encoding: chunked\r\n\r\n' % _HEAD
_LINE = b'x:%s\x00\r\n\r\n' % _FILLER


def _seconds_to_reject(
    role: type[h11.CLIENT] | type[h11.SERVER], message: bytes
) -> float:
    """Return the processor time in which a message is rejected."""
    http = H11Stream(memory_stream_pair()[0], role)
    if role is h11.CLIENT:
        request = h11.Request(method='GET', target='/', headers=[('host', 'x')])
        http.encode(request, h11.EndOfMessage())
    http.protocol.receive_data(message)

    async def receive() -> None:
        while not isinstance(await http.receive(), h11.EndOfMessage):
            await trio.lowlevel.checkpoint()

    started_at = time.process_time()
    with pytest.raises(h11.RemoteProtocolError):
        trio.run(receive)
    return time.process_time() - started_at


class TestParsingTime:
    @pytest.mark.parametrize(
        'message',
        [
            b'%s%s' % (_HEAD, _LINE),
            b'HTTP/1.1 103 Early Hints\r\n%s' % _LINE,
            b'%s0\r\n%s' % (_CHUNKED, _LINE),
            b'%s5;%s\n\r\n' % (_CHUNKED, _FILLER),
        ],
        ids=['head', 'informational', 'trailer', 'chunk-extension'],
    )
    def test_answer(self, message: bytes) -> None:
        """A line of spaces in an answer is rejected at once."""
        # Guards against one line that holds up the process for seconds.
        assert _seconds_to_reject(h11.CLIENT, message) < _MAX_SECONDS

    def test_request(self) -> None:
        """A line of spaces in a caller's head is rejected at once."""
        # Guards against one line that holds up the process for seconds.
        message = b'GET / HTTP/1.1\r\nhost: x\r\n%s' % _LINE
        assert _seconds_to_reject(h11.SERVER, message) < _MAX_SECONDS
