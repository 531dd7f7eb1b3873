"""Tests of the answers of the stand-in backend server."""

import msgspec
import pytest
import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from standins.backend import BackendState, RunRecord, RunState, download_parts
from tests.standins.backend.harness import SETTINGS, Caller, run


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
