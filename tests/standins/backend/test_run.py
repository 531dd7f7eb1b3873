"""Tests of the stand-in backend server."""

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import h11
import msgspec
import pytest
import trio
from trio.testing import MockClock, memory_stream_pair, wait_all_tasks_blocked

from carobwalk.http import H11Stream
from carobwalk.model import ServerId, ServiceName, ShardNumber, TrioClock
from carobwalk.ownership import GrantOrder, GrantReport, ShardGrant
from standins.backend import (
    BackendSettings,
    BackendState,
    RunRecord,
    RunState,
    download_parts,
    make_state,
    read_run_log,
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


class TestAnswer:
    def test_echo(self, virtual_clock: MockClock) -> None:
        """The response echoes the record of the request."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            headers = (
                ('carobwalk-request', 'r-1'),
                ('idempotency-key', 'k-1'),
            )
            for number in (1, 2):
                answer = await caller.ask(
                    'POST',
                    '/claims/a%20b?mark=m',
                    headers,
                    b'claim',
                )
                echo = msgspec.json.decode(answer.body, type=RunRecord)
                assert answer.is_whole
                assert echo.mark == 'm'
                assert echo.request == 'r-1'
                assert echo.idempotency_key == 'k-1'
                assert echo.key == 'a b'
                assert echo.body_bytes == 5
                assert echo.state is RunState.COMMITTED
                await wait_all_tasks_blocked()
                record = state.log.records_by_number[number]
                assert record.state is RunState.COMPLETE
                assert record.body_digest == echo.body_digest

        run(virtual_clock, SETTINGS, body)

    @pytest.mark.parametrize('framing', ['', '&chunked=1'])
    def test_download(self, virtual_clock: MockClock, framing: str) -> None:
        """A download has the requested size and pattern."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            answer = await caller.ask(
                'GET',
                f'/bundles/b?size=200001&mark=m{framing}',
            )
            assert answer.is_whole
            assert answer.body == b''.join(download_parts('b', 'm', 200_001))

        run(virtual_clock, SETTINGS, body)


class TestSlots:
    def test_shed(self, virtual_clock: MockClock) -> None:
        """Requests beyond the slots and the backlog are shed and do not run."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            callers = [Caller(state, nursery) for _ in range(10)]
            answers: list[Answer] = []

            async def ask(caller: Caller) -> None:
                answers.append(await caller.ask('GET', '/c/a?work_ms=1000'))

            async with trio.open_nursery() as asking:
                for caller in callers:
                    asking.start_soon(ask, caller)
            outcomes = Counter(answer.outcome for answer in answers)
            assert outcomes == {'': 8, 'not-run shed': 2}
            assert state.runs == 8
            assert trio.current_time() == pytest.approx(2, abs=0.1)

        run(virtual_clock, SETTINGS, body)

    def test_drain(self, virtual_clock: MockClock) -> None:
        """A draining server refuses new requests and reports unhealthy."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            assert (await caller.ask('POST', '/_control/drain')).status == 204
            answer = await caller.ask('GET', '/c/a')
            assert answer.outcome == 'not-run draining'
            assert (await caller.ask('GET', '/health')).status == 503
            assert not state.runs

        run(virtual_clock, SETTINGS, body)

    def test_connections(self, virtual_clock: MockClock) -> None:
        """A connection above the limit is closed at once."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            state.connections = 130
            caller = Caller(state, nursery)
            assert await caller.stream.receive_some() == b''

        run(virtual_clock, SETTINGS, body)


class TestCancel:
    def test_caller_gone(self, virtual_clock: MockClock) -> None:
        """A request whose caller disconnects during the work has no effect."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            await caller.send('POST', '/c/a?work_ms=5000')
            await trio.sleep(1)
            await caller.stream.aclose()
            await trio.sleep(1)
            assert state.log.records_by_number[1].state is RunState.ABORTED
            assert state.slots.is_empty

        run(virtual_clock, SETTINGS, body)

    def test_deadline(self, virtual_clock: MockClock) -> None:
        """A request that exceeds its deadline is reported as not run."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            headers = (('carobwalk-deadline-ms', '500'),)
            answer = await caller.ask('GET', '/c/a?work_ms=5000', headers)
            assert answer.outcome == 'not-run deadline'
            assert trio.current_time() == pytest.approx(0.5, abs=0.1)
            assert state.log.records_by_number[1].state is RunState.ABORTED

        run(virtual_clock, SETTINGS, body)


class TestFaults:
    @pytest.mark.parametrize(
        ('fault', 'final_state'),
        [
            ('break', RunState.ABORTED),
            ('silent', RunState.COMMITTED),
            ('cut', RunState.COMMITTED),
        ],
    )
    def test_incomplete_response(
        self,
        virtual_clock: MockClock,
        fault: str,
        final_state: RunState,
    ) -> None:
        """A faulty response is incomplete; the record has the progress."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            await caller.send('POST', f'/c/a?fault={fault}')
            if fault == 'cut':
                assert not (await caller.answer()).is_whole
            else:
                assert await caller.stream.receive_some() == b''
            assert state.log.records_by_number[1].state is final_state

        run(virtual_clock, SETTINGS, body)


class TestGrants:
    SETTINGS = BackendSettings(server=ServerId('server-1'), service=SERVICE)

    def test_fenced(self, virtual_clock: MockClock) -> None:
        """A request runs only with an admitted token and shard."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            assert (await caller.ask('GET', '/c/a')).status == 409
            assert (await caller.ask('GET', '/c/a', FENCE)).status == 409
            assert (await grant(caller, 1, 2)).refusal is None
            assert (await caller.ask('GET', '/c/a', FENCE)).status == 200
            await trio.sleep(2)
            answer = await caller.ask('GET', '/c/a', FENCE)
            assert answer.outcome == 'not-run fenced'
            assert state.runs == 1

        run(virtual_clock, self.SETTINGS, body)

    def test_expiry_while_waiting(self, virtual_clock: MockClock) -> None:
        """A request whose grant expires before it gets a slot is refused."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller, waiting = Caller(state, nursery), Caller(state, nursery)
            await grant(caller, 1, 2)
            for _ in range(4):
                await state.slots.acquire()
            await waiting.send('POST', '/c/a', FENCE)
            await trio.sleep(3)
            state.slots.release()
            assert (await waiting.answer()).outcome == 'not-run fenced'
            assert not state.runs

        run(virtual_clock, self.SETTINGS, body)

    def test_expiry_during_work(self, virtual_clock: MockClock) -> None:
        """A request whose grant expires during the work has no effect."""

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            await grant(caller, 1, 2)
            answer = await caller.ask('POST', '/c/a?work_ms=3000', FENCE)
            assert answer.outcome == 'not-run fenced'
            assert state.log.records_by_number[1].state is RunState.REFUSED

        run(virtual_clock, self.SETTINGS, body)


class TestReports:
    def test_lag(self, virtual_clock: MockClock) -> None:
        """The reported load lags behind the actual load."""
        settings = BackendSettings(
            server=ServerId('server-1'),
            service=SERVICE,
            checks_grants=False,
            report_lag=5,
        )

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller, other = Caller(state, nursery), Caller(state, nursery)
            await caller.send('GET', '/c/a?work_ms=9000')
            await trio.sleep(1)
            assert b'"running":0' in (await other.ask('GET', '/load')).body
            await trio.sleep(5)
            assert b'"running":1' in (await other.ask('GET', '/load')).body

        run(virtual_clock, settings, body)

    def test_log_file(
        self,
        virtual_clock: MockClock,
        tmp_path: Path,
    ) -> None:
        """The log has the last state of each run; a cut line is skipped."""
        path = tmp_path / 'runs'
        settings = BackendSettings(
            server=ServerId('server-1'),
            service=SERVICE,
            checks_grants=False,
            log_path=str(path),
        )

        async def body(state: BackendState, nursery: trio.Nursery) -> None:
            caller = Caller(state, nursery)
            await caller.ask('GET', '/c/a')
            await caller.ask('GET', '/c/b')
            await wait_all_tasks_blocked()
            with path.open('ab') as lines:
                lines.write(b'{"server"')
            records = read_run_log(path)
            assert [record.key for record in records] == ['a', 'b']
            assert records == tuple(state.log.records_by_number.values())

        run(virtual_clock, settings, body)
