"""Commands whose calls get no answer."""

import json
import socket
import threading
from collections.abc import Iterator

import pytest
from click.testing import CliRunner, Result

from carobwalk.cli import ExitCode, main

_CREATE = ('profile', 'create', 'a', '--revision', '0', '--reason', 'a test')


def _run(port: int, *arguments: str) -> Result:
    variables = {
        'CAROBWALK_ADDRESS': f'127.0.0.1:{port}',
        'CAROBWALK_TOKEN': 'ana.secret',
    }
    return CliRunner().invoke(main, list(arguments), env=variables)


def _hang_up(listener: socket.socket) -> None:
    """Take requests and close their connections without an answer."""
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        connection.recv(65536)
        connection.close()


@pytest.fixture
def silent_port() -> Iterator[int]:
    """Port of a server that never answers."""
    listener = socket.create_server(('127.0.0.1', 0))
    thread = threading.Thread(target=_hang_up, args=(listener,), daemon=True)
    thread.start()
    yield listener.getsockname()[1]
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()
    thread.join(timeout=5)


@pytest.fixture
def closed_port() -> int:
    """Port on which nothing listens."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port: int = listener.getsockname()[1]
    return port


class TestNoAnswer:
    """Exit codes and ways out."""

    def test_unreachable(self, closed_port: int) -> None:
        """A write whose connection failed changed nothing for certain."""
        outcome = _run(closed_port, 'token', 'delete', 'bo', '--reason', 'r')
        assert outcome.exit_code == ExitCode.UNREACHABLE
        assert 'nothing was changed' in outcome.stderr

    def test_read_without_an_answer(self, silent_port: int) -> None:
        """A read without an answer is harmless."""
        outcome = _run(silent_port, 'service', 'list')
        assert outcome.exit_code == ExitCode.UNREACHABLE

    def test_dry_run_without_an_answer(self, silent_port: int) -> None:
        """A dry run without an answer is harmless."""
        edit = ('--change', '3', '--reason', 'r', '--dry-run')
        outcome = _run(silent_port, 'profile', 'revert', 'a', *edit)
        assert outcome.exit_code == ExitCode.UNREACHABLE

    def test_write_without_an_answer(self, silent_port: int) -> None:
        """A write without an answer may have taken effect."""
        revert = ('profile', 'revert', 'a', '--change', '3', '--reason', 'r')
        outcome = _run(silent_port, *revert, '--write-id', 'w-1')
        assert outcome.exit_code == ExitCode.UNKNOWN
        assert 'repeat the command with --write-id w-1' in outcome.stderr

    def test_error_as_data(self, silent_port: int) -> None:
        """``--output json`` gives the failure as data too."""
        outcome = _run(silent_port, 'status', '--output', 'json')
        answer = json.loads(outcome.stdout)
        assert answer['kind'] == 'unreachable'

    @pytest.mark.parametrize('address', ['localhost:80', '127.0.0.1', 'x'])
    def test_wrong_address(self, address: str) -> None:
        """An address that is no IP number and port is a usage error."""
        arguments = ['status', '--token', 't', '--address', address]
        outcome = CliRunner().invoke(main, arguments)
        assert outcome.exit_code == ExitCode.USAGE


class TestOptions:
    """Options that can't be read."""

    @pytest.mark.parametrize('assignment', ['slots', ''])
    def test_wrong_assignment(self, assignment: str) -> None:
        """A field without a value is a usage error."""
        outcome = _run(1, *_CREATE, '--set', assignment)
        assert outcome.exit_code == ExitCode.USAGE
        assert 'FIELD=VALUE' in outcome.stderr
