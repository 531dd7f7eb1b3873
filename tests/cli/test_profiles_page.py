"""Runs every command of the operators' page on profiles, in order."""

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


class _PageRunner:
    """Runs the shell commands of the page.

    Args:
        harness: Administration that the commands call.
        port: Port of the administration.
    """

    def __init__(self, harness: AdminHarness, port: int) -> None:
        self.count = 0
        self._harness = harness
        self._runner = CliRunner()
        self._variables = {
            'CAROBWALK_ADDRESS': f'127.0.0.1:{port}',
            'CAROBWALK_TOKEN': BOOTSTRAP,
        }

    async def run(self, line: str) -> str:
        """Return the output of a line, and its exit code unless it is 0."""
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
        """Inject the faults of a named state into the stores."""
        for process in self._harness.fleet.processes.values():
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


def _parse_steps(page: str) -> Iterator[tuple[str, str]]:
    """Yield the commands of the page with their expected output."""
    for match in _STEP.finditer(page):
        if match['state']:
            yield 'store', match['state']
        else:
            yield from _parse_commands(match['block'])


def _parse_commands(block: str) -> Iterator[tuple[str, str]]:
    for step in f'\n{block}'.split('\n$ ')[1:]:
        command, _, expected = step.partition('\n')
        yield command, f'{expected}\n' if expected else ''


class _ProcessLogs:
    """Event logs of the processes, in the working directory."""

    def __init__(self) -> None:
        self._logs_by_name: dict[str, LineEventLog] = {}

    def emit(self, process: Process, event: Event) -> None:
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
    """The operators' page on profiles."""

    def test_all_commands(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """The output of each command matches the page."""
        monkeypatch.chdir(tmp_path)
        logs = _ProcessLogs()
        mismatches: list[str] = []

        async def main() -> None:
            async with (
                open_harness(logs.emit) as harness,
                trio.open_nursery() as nursery,
            ):
                listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(serve_http, harness.api, listeners)
                runner = _PageRunner(harness, port)
                mismatches.extend(await _follow_page(runner))
                assert runner.count > 30
                nursery.cancel_scope.cancel()

        trio.run(main)
        logs.close()
        assert not mismatches, '\n'.join(mismatches)


async def _follow_page(runner: _PageRunner) -> list[str]:
    """Return the commands whose output differs from the page."""
    checker = doctest.OutputChecker()
    mismatches: list[str] = []
    for command, expected in _parse_steps(_PAGE.read_text()):
        if command == 'store':
            await runner.set_store(expected)
            continue
        actual = await runner.run(command)
        if not checker.check_output(expected, actual, doctest.ELLIPSIS):
            mismatches.append(f'$ {command}\n{actual}')
    return mismatches
