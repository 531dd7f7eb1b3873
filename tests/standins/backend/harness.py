"""Caller of the stand-in backend server, on the virtual clock."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11
import msgspec
import trio
from trio.testing import MockClock, memory_stream_pair

from carobwalk.http import H11Stream
from carobwalk.model import ServerId, ServiceName, ShardNumber, TrioClock
from carobwalk.ownership import GrantOrder, GrantReport, ShardGrant
from standins.backend import (
    BackendSettings,
    BackendState,
    make_state,
    serve_connection,
)

SERVICE = ServiceName('claims-ledger')
SETTINGS = BackendSettings(
    server=ServerId('server-1'),
    service=SERVICE,
    checks_grants=False,
    faulty=True,
)
FENCE = (('carobwalk-fence', '1.1'), ('carobwalk-shard', '3'))


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete response, or the received part of it."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool

    @property
    def outcome(self) -> str:
        """Outcome and reason stated by the server."""
        reason = self.headers.get('carobwalk-reason', '')
        return f'{self.headers.get("carobwalk-outcome", "")} {reason}'.strip()


class Caller:
    """Connection of a caller to the server under test."""

    def __init__(self, state: BackendState, nursery: trio.Nursery) -> None:
        near, far = memory_stream_pair()
        self.stream = near
        self._connection = H11Stream(near, h11.CLIENT)
        nursery.start_soon(serve_connection, state, far)

    async def send(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b'',
    ) -> None:
        """Send a request."""
        await self._connection.send(
            h11.Request(
                method=method,
                target=target,
                headers=[
                    ('host', 'a'),
                    ('content-length', str(len(body))),
                    *headers,
                ],
            ),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    async def answer(self) -> Answer:
        """Read the answer."""
        event = await self._connection.receive()
        assert isinstance(event, h11.Response)
        status = event.status_code
        headers = {name.decode(): text.decode() for name, text in event.headers}
        body = b''
        is_whole = False
        try:
            event = await self._connection.receive()
            while isinstance(event, h11.Data):
                body += event.data
                event = await self._connection.receive()
            is_whole = isinstance(event, h11.EndOfMessage)
        except h11.RemoteProtocolError:
            is_whole = False
        if self._connection.is_reusable:
            self._connection.protocol.start_next_cycle()
        return Answer(status, headers, body, is_whole)

    async def ask(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b'',
    ) -> Answer:
        """Send a request and read its answer."""
        await self.send(method, target, headers, body)
        return await self.answer()


Body = Callable[[BackendState, trio.Nursery], Awaitable[None]]


def run(clock: MockClock, settings: BackendSettings, body: Body) -> None:
    """Run a test body beside a server on the virtual clock."""

    async def main() -> None:
        state = make_state(settings, TrioClock())
        async with trio.open_nursery() as nursery:
            await body(state, nursery)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=clock)


async def grant(caller: Caller, sequence: int, ttl: float) -> GrantReport:
    """Grant shard 3 with the token 1.1 and return the report."""
    fence = b'{"group":"g","epoch":1}'
    answer = await caller.ask('POST', '/_control/fence', (), fence)
    report = msgspec.json.decode(answer.body, type=GrantReport)
    order = GrantOrder(
        group='g',
        epoch=1,
        sequence=sequence,
        incarnation=report.incarnation,
        echo=report.clock,
        ttl=ttl,
        shards=(ShardGrant(SERVICE, ShardNumber(3), 1),),
    )
    answer = await caller.ask(
        'POST',
        '/_control/grant',
        (),
        msgspec.json.encode(order),
    )
    return msgspec.json.decode(answer.body, type=GrantReport)
