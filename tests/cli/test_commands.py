"""Tests of the command line."""

import json
import socket
import sys
from pathlib import Path
from types import ModuleType

import click
import pytest
from click.testing import CliRunner, Result

from carobwalk import VERSION
from carobwalk.cli import ExitCode, main, register
from carobwalk.cli._commands import DuplicateCommandError
from carobwalk.settings import Settings

DOCS = Path(__file__).parents[2] / 'docs'
EXAMPLE = str(DOCS / 'example-settings.json5')


def _run(*arguments: str) -> Result:
    return CliRunner().invoke(main, list(arguments))


@pytest.fixture
def invalid_settings(tmp_path: Path) -> str:
    """Return the path of a settings file with two errors in its limits."""
    text = Path(EXAMPLE).read_text()
    text = text.replace('header_bytes: 32768', 'header_bytes: 1, head: 2')
    path = tmp_path / 'invalid.json5'
    path.write_text(text)
    return str(path)


class TestRoot:
    def test_help(self) -> None:
        """Each command is listed with a help text."""
        outcome = _run('--help')
        assert outcome.exit_code == ExitCode.OK
        for name, command in main.commands.items():
            assert name in outcome.stdout
            assert command.help

    def test_unknown_command(self) -> None:
        """An unknown command exits with the code for usage errors."""
        assert _run('fly').exit_code == ExitCode.USAGE

    def test_duplicate(self) -> None:
        """Registering a second command under the same name is an error."""
        with pytest.raises(DuplicateCommandError):
            register(click.Command('version'))


class TestVersion:
    def test_text(self) -> None:
        """The output is the version alone."""
        assert _run('version').stdout == f'{VERSION}\n'

    def test_json(self) -> None:
        """The version is printed as JSON on request."""
        answer = json.loads(_run('version', '--output', 'json').stdout)
        assert answer['version'] == VERSION


class TestCheckSettings:
    def test_valid(self) -> None:
        """A valid file results in exit code 0."""
        outcome = _run('check-settings', EXAMPLE)
        assert outcome.exit_code == ExitCode.OK
        assert 'entry-1' in outcome.stdout

    def test_errors(self, invalid_settings: str) -> None:
        """All errors are printed to standard error with exit code 2."""
        outcome = _run('check-settings', invalid_settings)
        assert outcome.exit_code == ExitCode.USAGE
        lines = outcome.stderr.splitlines()
        assert [line.split(': ')[1] for line in lines] == [
            'limits.head',
            'limits.header_bytes',
        ]

    def test_errors_as_json(self, invalid_settings: str) -> None:
        """The errors are printed as JSON on request."""
        outcome = _run('check-settings', invalid_settings, '--output', 'json')
        errors = json.loads(outcome.stdout)['errors']
        assert [error['kind'] for error in errors] == [
            'unknown-name',
            'invalid',
        ]

    def test_missing(self) -> None:
        """A missing file results in exit code 2."""
        assert _run('check-settings', 'absent').exit_code == ExitCode.USAGE


class TestServe:
    def test_settings(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The application gets the settings; its result is the exit code."""
        served: list[Settings] = []

        def serve(settings: Settings) -> int:
            served.append(settings)
            return 5

        app = ModuleType('carobwalk.app')
        monkeypatch.setattr(app, 'serve', serve, raising=False)
        monkeypatch.setitem(sys.modules, 'carobwalk.app', app)
        assert _run('serve', EXAMPLE).exit_code == 5
        assert served[0].process.id == 'entry-1'

    def test_invalid_settings(
        self,
        invalid_settings: str,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Invalid settings prevent the application from being imported."""
        monkeypatch.setitem(sys.modules, 'carobwalk.app', None)
        assert _run('serve', invalid_settings).exit_code == ExitCode.USAGE

    def test_taken_address(self, tmp_path: Path) -> None:
        """An address in use results in the exit code for host errors."""
        with socket.create_server(('127.0.0.1', 0)) as taken:
            port = taken.getsockname()[1]
            text = Path(EXAMPLE).read_text()
            text = text.replace('127.0.0.1:8000', f'127.0.0.1:{port}')
            path = tmp_path / 'taken.json5'
            path.write_text(text)
            outcome = _run('serve', str(path))
        assert outcome.exit_code == ExitCode.HOST
        assert outcome.stderr.startswith('cannot serve: ')

    def test_unusable_log(self, tmp_path: Path) -> None:
        """A log that can't be opened results in the code for host errors."""
        text = Path(EXAMPLE).read_text()
        text = text.replace('path: null', f"path: '{tmp_path}'")
        path = tmp_path / 'log.json5'
        path.write_text(text)
        outcome = _run('serve', str(path))
        assert outcome.exit_code == ExitCode.HOST


class TestExitCodes:
    def test_page(self) -> None:
        """The operators' page lists every exit code with its number."""
        page = (DOCS / 'operators' / 'commands.md').read_text()
        for code in ExitCode:
            assert f'| {code.value} | ' in page


class TestCompletion:
    @pytest.mark.parametrize('shell', ['bash', 'zsh', 'fish'])
    def test_script(self, shell: str) -> None:
        """The script uses the completion variable of the program."""
        outcome = _run('completion', shell)
        assert outcome.exit_code == ExitCode.OK
        assert '_CAROBWALK_COMPLETE' in outcome.stdout
