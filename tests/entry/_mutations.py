"""Random mutations of the bytes of requests."""

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


def _flip(content: bytearray, rng: random.Random) -> None:
    content[rng.randrange(len(content))] = rng.randrange(256)


def _replace_range(
    content: bytearray,
    start: int,
    end: int,
    replacement: bytes,
) -> None:
    tail = content[end:]
    del content[start:]
    content.extend(replacement)
    content.extend(tail)


def _insert(content: bytearray, rng: random.Random) -> None:
    position = rng.randrange(len(content))
    _replace_range(content, position, position, rng.choice(_TOKENS))


def _delete(content: bytearray, rng: random.Random) -> None:
    start = rng.randrange(len(content))
    del content[start : start + rng.randrange(1, 12)]


def _truncate(content: bytearray, rng: random.Random) -> None:
    del content[rng.randrange(1, len(content) + 1) :]


def _repeat(content: bytearray, rng: random.Random) -> None:
    start = rng.randrange(len(content))
    part = content[start : start + rng.randrange(1, 40)]
    _replace_range(content, start, start, part * rng.randrange(1, 4))


def _replace_number(content: bytearray, rng: random.Random) -> None:
    positions = [
        position for position, byte in enumerate(content) if 48 <= byte <= 57
    ]
    if positions:
        position = rng.choice(positions)
        _replace_range(content, position, position + 1, rng.choice(_NUMBERS))


def _append_request(content: bytearray, rng: random.Random) -> None:
    content.extend(rng.choice(REQUESTS))


_MUTATIONS: tuple[Mutation, ...] = (
    _flip,
    _insert,
    _delete,
    _truncate,
    _repeat,
    _replace_number,
    _append_request,
)


def make_input(rng: random.Random) -> bytes:
    """Return a request with up to four mutations, or random bytes."""
    if rng.randrange(20) == 0:
        return rng.randbytes(rng.randrange(1, 300))
    content = bytearray(rng.choice(REQUESTS))
    for _ in range(rng.randrange(5)):
        if content:
            rng.choice(_MUTATIONS)(content, rng)
    return bytes(content) or b'\r\n'
