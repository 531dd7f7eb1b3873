"""Runs of ``serve`` without a platform."""

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
from binary_check._run import BINARY, Place, Process

HOST: Final = '127.0.0.1'

_SERVE_SECONDS: Final = 3.0
_ANSWER_SECONDS: Final = 1.0
_RESIDENT_FIELD: Final = 1
_REQUEST: Final = b'GET /s/k HTTP/1.1\r\nhost: a\r\n\r\n'
_ANSWER: Final = b'HTTP/1.1 '


@dataclass(frozen=True, slots=True)
class Served:
    """What was seen of a run.

    Args:
        children: Ids of its children.
        exit_code: Exit code after SIGTERM.
        resident_bytes: Resident set size before SIGTERM.
    """

    children: frozenset[str]
    exit_code: int
    resident_bytes: int


@dataclass(frozen=True, slots=True)
class Service:
    """A process that can be served.

    Args:
        settings: Its settings file.
        port: Port for callers.
    """

    settings: Path
    port: int

    @property
    def command(self) -> tuple[str, ...]:
        """The command that serves it."""
        return str(BINARY), 'serve', str(self.settings)

    def is_answering(self) -> bool:
        """Send a request; return whether it got any answer."""
        try:
            return self._ask().startswith(_ANSWER)
        except OSError:
            return False

    def _ask(self) -> bytes:
        address = (HOST, self.port)
        with socket.create_connection(address, _ANSWER_SECONDS) as connection:
            connection.sendall(_REQUEST)
            return connection.recv(len(_ANSWER))


def write_service(place: Place) -> Service:
    """Write settings of a process whose store can't be reached."""
    callers, peers, administration, store = _free_ports(4)
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
        'log': {'path': str(place.path / 'events.log')},
        'limits': {'drain_seconds': 1},
    }
    path = place.path / 'settings.json5'
    path.write_text(json.dumps(settings))
    return Service(path, callers)


def watch_serve(place: Place, service: Service) -> Served:
    """Run ``serve`` with a request until SIGTERM, and look for children."""
    with place.started(*service.command) as process:
        children = poll_children(process, service.is_answering)
        end = time.monotonic() + _SERVE_SECONDS
        children |= poll_children(process, lambda: time.monotonic() > end)
        resident = _resident_bytes(process.pid)
        process.send_signal(signal.SIGTERM)
        children |= poll_children(process, lambda: process.poll() is not None)
        return Served(frozenset(children), process.returncode, resident)


def trace_serve(place: Place, service: Service) -> list[str]:
    """Run ``serve`` with a request under strace; return its forks."""
    use = partial(_use_traced, service)
    return trace_command(place, use, *service.command)


def _use_traced(service: Service, tracer: Process) -> None:
    poll_children(tracer, service.is_answering)
    children = Path(f'/proc/{tracer.pid}/task/{tracer.pid}/children')
    for child in children.read_text().split():
        os.kill(int(child), signal.SIGTERM)


def _free_ports(count: int) -> list[int]:
    with ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server((HOST, 0)))
            for _ in range(count)
        ]
        return [opened.getsockname()[1] for opened in sockets]


def _resident_bytes(process_id: int) -> int:
    fields = Path(f'/proc/{process_id}/statm').read_text().split()
    return int(fields[_RESIDENT_FIELD]) * resource.getpagesize()
