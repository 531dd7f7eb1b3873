"""Every command of the operators' page on profiles, run in order."""

import doctest
import re
import shlex
from collections.abc import Iterator, Mapping
from pathlib import Path
from types import MappingProxyType

import pytest
import trio
from click.testing import CliRunner

from benchmarks._config_fleet import Process
from carobwalk.cli import main as command_line
from carobwalk.events import Event, HybridClock, LineEventLog
from carobwalk.http import serve_http
from standins.memory_store import StoreFaults
from tests.admin._harness import BOOTSTRAP, AdminHarness, open_harness

_PAGE = Path(__file__).parents[2] / 'docs' / 'operators' / 'profiles.md'
_FAULTS_BY_NAME: Mapping[str, StoreFaults] = MappingProxyType(
    {
        'down': StoreFaults(down=True),
        'holds writes': StoreFaults(holds_writes=True, timeout=1),
        'up': StoreFaults(),
    }
)
_STEP = re.compile(
    '^<!-- store: (?P<state>[a-z ]*) -->$|^```console\n(?P<block>.*?)\n```$',
    re.MULTILINE | re.DOTALL,
)
_ASSIGNMENT = re.compile(r'(export )?(\w+)=(.*)')


class _Shell:
    """Runs the lines of the page.

    Args:
        harness: Administration that the commands talk to.
        port: Port of the administration.
    """

    def __init__(self, harness: AdminHarness, port: int) -> None:
        self.count = 0
        self._office = harness
        self._runner = CliRunner()
        self._variables = {
            'CAROBWALK_ADDRESS': f'127.0.0.1:{port}',
            'CAROBWALK_TOKEN': BOOTSTRAP,
        }

    async def run(self, line: str) -> str:
        """Return what a line prints, and its exit code if it is not 0."""
        assignment = _ASSIGNMENT.fullmatch(line)
        if assignment is None:
            return await self._invoke(line)
        text = assignment[3]
        if text.startswith('$('):
            text = await self._invoke(text.removeprefix('$(').rstrip(')'))
        elif text.startswith('$'):
            text = self._variables[text.removeprefix('$')]
        self._variables[assignment[2]] = text.strip()
        return ''

    async def set_store(self, state: str) -> None:
        """Put the store into a state."""
        for process in self._office.fleet.processes.values():
            if state == 'up':
                process.store.release_held()
            process.store.inject(_FAULTS_BY_NAME[state])

    async def _invoke(self, line: str) -> str:
        program, *arguments = shlex.split(line)
        assert program == 'carobwalk'
        self.count += 1
        outcome = await trio.to_thread.run_sync(
            lambda: self._runner.invoke(
                command_line,
                arguments,
                env=self._variables,
            ),
        )
        if not outcome.exit_code:
            return outcome.output
        return f'{outcome.output}[exit code {outcome.exit_code}]\n'


def _steps(page: str) -> Iterator[tuple[str, str]]:
    """Yield the lines to run with the output that the page shows."""
    for match in _STEP.finditer(page):
        if match['state']:
            yield 'store', match['state']
        else:
            yield from _commands(match['block'])


def _commands(block: str) -> Iterator[tuple[str, str]]:
    for step in f'\n{block}'.split('\n$ ')[1:]:
        command, _, shown = step.partition('\n')
        yield command, f'{shown}\n' if shown else ''


class _Logs:
    """Logs of the processes in the working directory."""

    def __init__(self) -> None:
        self._logs_by_name: dict[str, LineEventLog] = {}

    def note(self, process: Process, event: Event) -> None:
        """Write an event to the log of its process."""
        name = process.own.name
        if name not in self._logs_by_name:
            self._logs_by_name[name] = LineEventLog.open(
                name,
                HybridClock(),
                f'{name}.log',
            )
        self._logs_by_name[name].emit(event)

    def close(self) -> None:
        """Close all logs."""
        for log in self._logs_by_name.values():
            log.close()


class TestPage:
    """The page as a new operator would follow it."""

    def test_all_commands(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Each command prints what the page shows."""
        monkeypatch.chdir(tmp_path)
        logs = _Logs()
        faults: list[str] = []

        async def main() -> None:
            async with (
                open_harness(logs.note) as harness,
                trio.open_nursery() as nursery,
            ):
                listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(serve_http, harness.api, listeners)
                shell = _Shell(harness, port)
                faults.extend(await _follow_page(shell))
                assert shell.count > 30
                nursery.cancel_scope.cancel()

        trio.run(main)
        logs.close()
        assert not faults, '\n'.join(faults)


async def _follow_page(shell: _Shell) -> list[str]:
    """Return the commands that print something else than the page shows."""
    checker = doctest.OutputChecker()
    faults: list[str] = []
    for command, shown in _steps(_PAGE.read_text()):
        if command == 'store':
            await shell.set_store(shown)
            continue
        printed = await shell.run(command)
        if not checker.check_output(shown, printed, doctest.ELLIPSIS):
            faults.append(f'$ {command}\n{printed}')
    return faults
