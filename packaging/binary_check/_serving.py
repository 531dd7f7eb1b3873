"""Runs of ``serve`` whose store and host list are unreachable."""

import json
import os
import resource
import signal
import socket
import time
from contextlib import ExitStack
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Final

from binary_check._children import poll_children, trace_command
from binary_check._run import BINARY, Process, WorkDirectory

HOST: Final = '127.0.0.1'

_OBSERVATION_SECONDS: Final = 3.0
_ANSWER_TIMEOUT_SECONDS: Final = 1.0
_RESIDENT_PAGES_COLUMN: Final = 1
_REQUEST: Final = b'GET /s/k HTTP/1.1\r\nhost: a\r\n\r\n'
_ANSWER_PREFIX: Final = b'HTTP/1.1 '


@dataclass(frozen=True, slots=True)
class ServeResult:
    """Observations of a run of ``serve``.

    Args:
        children: Process ids of its children.
        exit_code: Exit code after SIGTERM.
        resident_bytes: Resident set size just before SIGTERM.
    """

    children: frozenset[str]
    exit_code: int
    resident_bytes: int


@dataclass(frozen=True, slots=True)
class ServeCommand:
    """Command that runs ``serve`` with a settings file.

    Args:
        settings: Path of the settings file.
        port: Port that it listens on for callers.
    """

    settings: Path
    port: int

    @property
    def command(self) -> tuple[str, ...]:
        """Command line."""
        return str(BINARY), 'serve', str(self.settings)

    def is_answering(self) -> bool:
        """Send a request; return whether any HTTP answer came back."""
        try:
            return self._receive_answer_prefix().startswith(_ANSWER_PREFIX)
        except OSError:
            return False

    def _receive_answer_prefix(self) -> bytes:
        address = (HOST, self.port)
        with socket.create_connection(
            address, _ANSWER_TIMEOUT_SECONDS
        ) as connection:
            connection.sendall(_REQUEST)
            return connection.recv(len(_ANSWER_PREFIX))


def write_settings(directory: WorkDirectory) -> ServeCommand:
    """Write settings with an unreachable store and host list.

    Args:
        directory: Directory of the settings file and the event log.
    """
    callers, peers, administration, store = _find_free_ports(4)
    settings = {
        'process': {'id': 'e1', 'region': 'n', 'data_centre': 'n-a'},
        'listen': {
            'callers': f'{HOST}:{callers}',
            'peers': f'{HOST}:{peers}',
            'administration': f'{HOST}:{administration}',
        },
        'platform': {
            'store': f'{HOST}:{store}',
            'host_list': f'{HOST}:{store}',
        },
        'log': {'path': str(directory.path / 'events.log')},
        'limits': {'drain_seconds': 1},
    }
    path = directory.path / 'settings.json5'
    path.write_text(json.dumps(settings))
    return ServeCommand(path, callers)


def run_serve(
    directory: WorkDirectory, serve_command: ServeCommand
) -> ServeResult:
    """Run ``serve`` until SIGTERM while polling for children.

    A request is sent first, and the process keeps running for a few seconds.
    """
    with directory.running(*serve_command.command) as process:
        children = poll_children(process, serve_command.is_answering)
        end = time.monotonic() + _OBSERVATION_SECONDS
        children |= poll_children(process, lambda: time.monotonic() > end)
        resident = _read_resident_bytes(process.pid)
        process.send_signal(signal.SIGTERM)
        children |= poll_children(process, lambda: process.poll() is not None)
        return ServeResult(frozenset(children), process.returncode, resident)


def trace_serve(
    directory: WorkDirectory, serve_command: ServeCommand
) -> list[str]:
    """Run ``serve`` with a request under strace.

    Returns:
        Lines of the trace with system calls that started a process.
    """
    use = partial(_stop_after_answer, serve_command)
    return trace_command(directory, use, *serve_command.command)


def _stop_after_answer(serve_command: ServeCommand, tracer: Process) -> None:
    poll_children(tracer, serve_command.is_answering)
    children = Path(f'/proc/{tracer.pid}/task/{tracer.pid}/children')
    for child in children.read_text().split():
        os.kill(int(child), signal.SIGTERM)


def _find_free_ports(count: int) -> list[int]:
    with ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server((HOST, 0)))
            for _ in range(count)
        ]
        return [opened.getsockname()[1] for opened in sockets]


def _read_resident_bytes(process_id: int) -> int:
    fields = Path(f'/proc/{process_id}/statm').read_text().split()
    return int(fields[_RESIDENT_PAGES_COLUMN]) * resource.getpagesize()
