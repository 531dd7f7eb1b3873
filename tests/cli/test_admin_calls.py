"""Tests of commands whose calls to the administration fail."""

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


def _close_without_answering(listener: socket.socket) -> None:
    """Accept requests and close their connections without an answer."""
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        connection.recv(65536)
        connection.close()


@pytest.fixture
def unanswering_port() -> Iterator[int]:
    """Return the port of a server that closes connections unanswered."""
    listener = socket.create_server(('127.0.0.1', 0))
    thread = threading.Thread(
        target=_close_without_answering,
        args=(listener,),
        daemon=True,
    )
    thread.start()
    yield listener.getsockname()[1]
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()
    thread.join(timeout=5)


@pytest.fixture
def closed_port() -> int:
    """Return a port on which nothing listens."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port: int = listener.getsockname()[1]
    return port


class TestNoAnswer:
    """Exit codes and suggested remedies after a lost call."""

    def test_unreachable(self, closed_port: int) -> None:
        """A write whose connection was refused has changed nothing."""
        outcome = _run(closed_port, 'token', 'delete', 'bo', '--reason', 'r')
        assert outcome.exit_code == ExitCode.UNREACHABLE
        assert 'nothing was changed' in outcome.stderr

    def test_read_without_an_answer(self, unanswering_port: int) -> None:
        """A read without an answer reports an unreachable administration."""
        outcome = _run(unanswering_port, 'service', 'list')
        assert outcome.exit_code == ExitCode.UNREACHABLE

    def test_dry_run_without_an_answer(self, unanswering_port: int) -> None:
        """A dry run without an answer counts as a read."""
        edit = ('--change', '3', '--reason', 'r', '--dry-run')
        outcome = _run(unanswering_port, 'profile', 'revert', 'a', *edit)
        assert outcome.exit_code == ExitCode.UNREACHABLE

    def test_write_without_an_answer(self, unanswering_port: int) -> None:
        """A write without an answer has an unknown outcome."""
        revert = ('profile', 'revert', 'a', '--change', '3', '--reason', 'r')
        outcome = _run(unanswering_port, *revert, '--write-id', 'w-1')
        assert outcome.exit_code == ExitCode.UNKNOWN
        assert 'repeat the command with --write-id w-1' in outcome.stderr

    def test_error_as_json(self, unanswering_port: int) -> None:
        """``--output json`` prints the failure as JSON."""
        outcome = _run(unanswering_port, 'status', '--output', 'json')
        answer = json.loads(outcome.stdout)
        assert answer['kind'] == 'unreachable'

    @pytest.mark.parametrize('address', ['localhost:80', '127.0.0.1', 'x'])
    def test_wrong_address(self, address: str) -> None:
        """An address other than an IP address and port is a usage error."""
        arguments = ['status', '--token', 't', '--address', address]
        outcome = CliRunner().invoke(main, arguments)
        assert outcome.exit_code == ExitCode.USAGE


class TestOptions:
    """Options with malformed values."""

    @pytest.mark.parametrize('assignment', ['slots', ''])
    def test_wrong_assignment(self, assignment: str) -> None:
        """A field without a value is a usage error."""
        outcome = _run(1, *_CREATE, '--set', assignment)
        assert outcome.exit_code == ExitCode.USAGE
        assert 'FIELD=VALUE' in outcome.stderr
