"""Memory of a client that is sent answers without end, many at once."""

from types import MappingProxyType

import pytest
import trio

from carobwalk.http import AnswerMemory, HttpClient, HttpRequest
from carobwalk.model import Address
from tests.http.raw_server import Ending, RawServer, Script

_MEMORY_BYTES = 3_000_000
_AT_ONCE = 40
_TIMEOUT_SECONDS = 20
_OK = b'HTTP/1.1 200 OK\r\n'
_ENDLESS = MappingProxyType(
    {
        'body without length': Script(
            b'%s\r\n' % _OK, Ending.REPEAT, b'x' * 65_536
        ),
        'body of huge length': Script(
            b'%scontent-length: 15000000\r\n\r\n' % _OK,
            Ending.REPEAT,
            b'x' * 65_536,
        ),
        'chunks': Script(
            b'%stransfer-encoding: chunked\r\n\r\n' % _OK,
            Ending.REPEAT,
            b'8000\r\n%s\r\n' % (b'x' * 32_768),
        ),
        'slow body': Script(
            b'%s\r\n' % _OK, Ending.REPEAT, b'x' * 20_000, 0.002
        ),
        'head': Script(_OK, Ending.REPEAT, b'x-more: 1\r\n' * 999),
    }
)


class _WatchedMemory(AnswerMemory):
    """Memory that records the most that it held."""

    def __init__(self) -> None:
        super().__init__(_MEMORY_BYTES)
        self.most_bytes = 0

    def resize(self, old_bytes: int, new_bytes: int) -> bool:
        """Change the size of an answer."""
        is_allowed = super().resize(old_bytes, new_bytes)
        self.most_bytes = max(self.most_bytes, self.held_bytes)
        return is_allowed


class TestManyAtOnce:
    # Guards against memory without a bound: each answer might grow to 16 MiB,
    # whatever others held.
    @pytest.mark.parametrize('name', sorted(_ENDLESS))
    def test_bounded(self, name: str) -> None:
        """All endless answers together keep to the limit, and give it back."""
        memory = _WatchedMemory()
        client = HttpClient(memory=memory)
        server = RawServer(_ENDLESS[name])
        answered: list[bool] = []

        async def ask() -> None:
            sent = await client.send(
                Address('127.0.0.1', server.port),
                HttpRequest('GET', '/kv-range'),
                _TIMEOUT_SECONDS,
            )
            answered.append(sent.is_ok())

        async def ask_at_once() -> None:
            async with trio.open_nursery() as asking:
                for _ in range(_AT_ONCE):
                    asking.start_soon(ask)

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await server.start(nursery)
                await ask_at_once()
                nursery.cancel_scope.cancel()

        trio.run(main)
        assert not any(answered)
        assert len(answered) == _AT_ONCE
        assert memory.most_bytes <= _MEMORY_BYTES
        assert memory.held_bytes == 0
