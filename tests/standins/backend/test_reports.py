"""Tests of load reports and the log of runs."""

from pathlib import Path

import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from carobwalk.model import ServerId
from standins.backend import BackendSettings, BackendState, read_run_log
from tests.standins.backend.harness import SERVICE, Caller, run


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
