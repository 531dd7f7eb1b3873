"""Random damage to the bytes of requests."""

import random
from collections.abc import Callable

REQUESTS = (
    b'GET /tien-do/cases/1 HTTP/1.1\r\nhost: a\r\n\r\n',
    b'GET /ban-ve/x HTTP/1.1\r\nhost: a\r\ncarobwalk-deadline-ms: 900\r\n\r\n',
    b'PUT /ban-ve/b/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello',
    b'POST /tien-do/claims/2?x=%41 HTTP/1.1\r\nhost: a\r\n'
    b'transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n',
    b'POST /tien-do/claims/3 HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n'
    b'idempotency-key: k-1\r\ncontent-length: 3\r\n\r\nabc',
    b'GET /tien-do/cases/4 HTTP/1.0\r\n\r\n',
    b'DELETE /tien-do/orders/5 HTTP/1.1\r\nhost: a\r\n'
    b'connection: close\r\ncarobwalk-rank: bulk-upload\r\n\r\n',
)
_NUMBERS = (b'0', b'-1', b'99999999999999999999', b'1e9', b'0x10', b' 7 ')
_TOKENS = (
    b'\r\n',
    b'\n',
    b'\x00',
    b': ',
    b'%',
    b'%zz',
    b'/',
    b'\xff\xfe',
    b'content-length: 4\r\n',
    b'transfer-encoding: chunked\r\n',
    b'host: b\r\n',
    b'x: %b' % (b'y' * 40_000),
)

Mutation = Callable[[bytearray, random.Random], None]


def _flip(content: bytearray, chooser: random.Random) -> None:
    content[chooser.randrange(len(content))] = chooser.randrange(256)


def _put(content: bytearray, start: int, end: int, part: bytes) -> None:
    tail = content[end:]
    del content[start:]
    content.extend(part)
    content.extend(tail)


def _insert(content: bytearray, chooser: random.Random) -> None:
    place = chooser.randrange(len(content))
    _put(content, place, place, chooser.choice(_TOKENS))


def _delete(content: bytearray, chooser: random.Random) -> None:
    start = chooser.randrange(len(content))
    del content[start : start + chooser.randrange(1, 12)]


def _truncate(content: bytearray, chooser: random.Random) -> None:
    del content[chooser.randrange(1, len(content) + 1) :]


def _repeat(content: bytearray, chooser: random.Random) -> None:
    start = chooser.randrange(len(content))
    part = content[start : start + chooser.randrange(1, 40)]
    _put(content, start, start, part * chooser.randrange(1, 4))


def _replace_number(content: bytearray, chooser: random.Random) -> None:
    digits = [place for place, byte in enumerate(content) if 48 <= byte <= 57]
    if digits:
        place = chooser.choice(digits)
        _put(content, place, place + 1, chooser.choice(_NUMBERS))


def _append_request(content: bytearray, chooser: random.Random) -> None:
    content.extend(chooser.choice(REQUESTS))


_MUTATIONS: tuple[Mutation, ...] = (
    _flip,
    _insert,
    _delete,
    _truncate,
    _repeat,
    _replace_number,
    _append_request,
)


def make_input(chooser: random.Random) -> bytes:
    """Return a request with up to four damages, or random bytes."""
    if chooser.randrange(20) == 0:
        return chooser.randbytes(chooser.randrange(1, 300))
    content = bytearray(chooser.choice(REQUESTS))
    for _ in range(chooser.randrange(5)):
        if content:
            chooser.choice(_MUTATIONS)(content, chooser)
    return bytes(content) or b'\r\n'
