"""Stand-in of a client."""

import asyncio
import itertools
import random

from review.standins_2.record import Record
from review.standins_2.wire import (
    CONNECTION_ERRORS,
    Message,
    encode,
    read_message,
)

_RUN = random.randrange(1 << 32)
_NUMBERS = itertools.count(1)


def new_attempt() -> str:
    """Return a new id of an attempt."""
    return f'{_RUN:08x}{next(_NUMBERS):08x}'


class Client:
    """Sends requests one after the other on a connection that it keeps.

    Args:
        address: Address of the process that it connects to.
        record: Record of the run.
    """

    def __init__(self, address: str, record: Record) -> None:
        self._address = address
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        host: str,
        path: str,
        *,
        deadline: float = 1.5,
        body: bytes = b'',
        key: int | None = None,
        attempt: str = '',
    ) -> Message | None:
        """Send a request; return the answer, ``None`` if there is none."""
        attempt = attempt or new_attempt()
        headers: dict[str, object] = {
            'Host': host,
            'Attempt-Id': attempt,
            'Deadline-Ms': int(deadline * 1000),
        }
        if key is not None:
            headers['Shard-Key'] = key
        self._record.write(f'send {attempt} {method} {path} to {self._address}')
        answer: Message | None = None
        detail = ''
        try:
            async with asyncio.timeout(deadline + 0.5):
                await self._connect()
                encoded = encode(f'{method} {path} HTTP/1.1', headers, body)
                self._writer.write(encoded)
                await self._writer.drain()
                answer = await read_message(self._reader)
        except (TimeoutError, *CONNECTION_ERRORS) as error:
            detail = type(error).__name__
        status = answer.status if answer else f'none {detail}'
        self._record.write(f'answer {attempt} {status}')
        if answer is None or answer.headers.get('connection') == 'close':
            self.close()
        return answer

    async def _connect(self) -> None:
        if self._writer is not None and not self._writer.is_closing():
            if not self._reader.at_eof():
                return
            self.close()
        host, _, port = self._address.partition(':')
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port), limit=1 << 20
        )

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None
