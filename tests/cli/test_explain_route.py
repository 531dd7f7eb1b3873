"""Tests of the command ``explain-route`` against a scripted process."""

import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any

import pytest
from click.testing import CliRunner, Result

from carobwalk.cli import ExitCode, main


def _server() -> dict[str, Any]:
    """Return what is explained of a server that limits its requests."""
    return {
        'server': 's1',
        'data_centre': 'dc1',
        'excluded': ['limits its requests'],
        'chance': None,
        'cost': 0.25,
        'in_flight': 2,
        'limit': 6,
        'latency': 0.2,
        'latency_age': 1.5,
        'estimate_seconds': 0.3,
        'estimate_in_flight': 4,
        'estimate_age': 0.5,
        'is_connected': True,
        'cold_seconds': 9,
        'cold_share': 0.25,
        'gate_seconds': [0, 4],
        'ejected_seconds': 0,
    }


def _explained() -> dict[str, Any]:
    """Return the explanation of a request that waits for that server."""
    return {
        'version': 7,
        'records_age': 0.5,
        'digest_age': None,
        'digest_weight': 0,
        'is_quarantined': None,
        'detail': '',
        'route': {
            'name': 'reads',
            'prefix': '/reads/',
            'repeat_rule': 'idempotent',
            'rank': 0,
            'allowed_regions': ['r1'],
        },
        'destinations': [
            {
                'service': 'reads',
                'chance': 1,
                'outcome': 'wait',
                'detail': 'the backend servers limit their requests',
                'seconds': 4,
                'waiting': 3,
                'owner': {
                    'server': 's1',
                    'is_granted': True,
                    'fence': 5,
                    'admitted': 0.5,
                },
                'servers': [_server()],
            }
        ],
    }


class ScriptedProcess:
    """Metrics listener that gives one answer to every request."""

    def __init__(self) -> None:
        self.status = 200
        self.body = json.dumps(_explained()).encode()
        self.targets: list[str] = []
        process = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                process.targets.append(self.path)
                self.send_response(process.status)
                self.send_header('content-length', str(len(process.body)))
                self.end_headers()
                self.wfile.write(process.body)

            def log_message(self, *_: object) -> None:
                """Write no log."""

        self.server = HTTPServer(('127.0.0.1', 0), Handler)

    def ask(self, *options: str) -> Result:
        """Run the command."""
        address = f'127.0.0.1:{self.server.server_port}'
        required = ('--host', 'a.example', '--path', '/reads/a')
        arguments = ['explain-route', address, *required, *options]
        return CliRunner().invoke(main, arguments)


@pytest.fixture
def process() -> Iterator[ScriptedProcess]:
    """Return a process that answers until the end of the test."""
    scripted = ScriptedProcess()
    thread = threading.Thread(target=scripted.server.serve_forever)
    thread.start()
    yield scripted
    scripted.server.shutdown()
    thread.join()
    scripted.server.server_close()


class TestExplainRoute:
    def test_text(self, process: ScriptedProcess) -> None:
        """Guards against text that leaves out a reason or a time."""
        outcome = process.ask('--key', '7', '--body-bytes', '90')
        assert outcome.exit_code == ExitCode.OK
        for expected in (
            'configuration 7',
            'regions r1',
            'wait, the backend servers limit their requests, in 4 s',
            'owner s1, granted, fence 5, admitted 0.5',
            's1 in dc1: excluded (limits its requests)',
            'gate opens in 0 s to 4 s',
            'cold for 9 s',
        ):
            assert expected in outcome.stdout
        target = process.targets[0]
        assert target.startswith('/explain?')
        assert 'key=7' in target
        assert 'body_bytes=90' in target
        assert 'caller' not in target

    def test_json(self, process: ScriptedProcess) -> None:
        """Guards against JSON that differs from the answer of the process."""
        outcome = process.ask('--format', 'json')
        assert json.loads(outcome.stdout) == _explained()

    def test_no_route(self, process: ScriptedProcess) -> None:
        """Guards against success for a request that has no route."""
        unrouted = {'route': None, 'destinations': [], 'detail': 'no route'}
        process.body = json.dumps(_explained() | unrouted).encode()
        outcome = process.ask()
        assert outcome.exit_code == ExitCode.NOT_FOUND
        assert 'no route' in outcome.stdout

    def test_failures(self, process: ScriptedProcess) -> None:
        """Guards against an exit code that hides who failed."""
        process.status = 400
        process.body = b'{"detail":"wrong key"}'
        outcome = process.ask()
        assert outcome.exit_code == ExitCode.INPUT
        assert 'wrong key' in outcome.stderr
        process.status = 404
        process.body = b''
        assert process.ask().exit_code == ExitCode.REFUSED

    def test_unreachable(self) -> None:
        """Guards against a trace in place of a message."""
        scripted = ScriptedProcess()
        scripted.server.server_close()
        outcome = scripted.ask()
        assert outcome.exit_code == ExitCode.UNREACHABLE
