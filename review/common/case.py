"""Start of router processes, and the record of a case."""

import asyncio
import json
import os
import random
import re
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import closing
from itertools import count
from pathlib import Path
from socket import SO_REUSEADDR, SOL_SOCKET, socket

from common.store import Store
from common.wire import Answer, read_answer

ROOT = Path(__file__).parent.parent.parent
_READY_SECONDS = 20.0
_CONNECT_SECONDS = 1.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    'contact_s': 3,
    'drain_s': 2,
    'grace_s': 6,
    'config_apply_s': 2,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 64,
    'max_hold_s': 10,
}


class CaseFailure(Exception):
    """The case could not run."""


def is_disrupted() -> bool:
    """Return whether the case is to run with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what happens to ``record.txt``, with seconds from the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def write(self, line: str) -> None:
        """Write a line with the time."""
        self._file.write(f'{self.now():8.3f} {line}\n')
        self._file.flush()

    def conclude(self, line: str) -> None:
        """Write a line to the record and to standard output."""
        self.write(line)
        sys.stdout.write(f'{line}\n')


def fill_template(text: str, fields: dict) -> str:
    """Fill the placeholders of the deploy file's template."""

    def fill(match: re.Match[str]) -> str:
        found: object = fields
        for step in match[1].split('.'):
            found = found[int(step)] if isinstance(found, list) else found[step]
        is_text = isinstance(found, str) and not match[2]
        return str(found) if is_text else json.dumps(found)

    return re.sub(r'\{\{([a-z_.0-9]+)(\|json)?\}\}', fill, text)


class Machine:
    """One router process with an address of its own."""

    def __init__(
        self, name: str, host: str, ports: tuple[int, ...], store: str
    ) -> None:
        self.name = name
        self.host = host
        self.frontend, self.ready, self._peers = ports
        self.store = store
        self.zone = 'zone-a'
        self.zones = {'zone-a': 'region-a'}
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None
        return self._process.pid

    async def start(self, folder: Path) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['router']
        template = (ROOT / role['template']).read_text()
        settings = folder / f'{self.name}.settings'
        settings.write_text(fill_template(template, self._fields()))
        log = (folder / f'{self.name}.log').open('ab')
        program, *arguments = role['run'].split()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable if program == 'python3' else program,
            *arguments,
            cwd=ROOT,
            env={
                'CAROBWALK_BOOT': str(settings),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PATH': os.environ['PATH'],
                'HOME': str(folder),
            },
            stdout=log,
            stderr=log,
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    @property
    def exit_code(self) -> int | None:
        """Exit code, ``None`` while the process runs."""
        assert self._process is not None
        return self._process.returncode

    async def wait_until_ready(self) -> None:
        """Wait until the readiness check succeeds."""
        until = time.monotonic() + _READY_SECONDS
        while time.monotonic() < until:
            try:
                answer = await send(self.host, self.ready, 'GET', '/readiness')
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                answer = Answer(0)
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CaseFailure(f'{self.name} was not ready in {_READY_SECONDS} s')

    def _fields(self) -> dict:
        return {
            'node_name': self.name,
            'ip': self.host,
            'zone': self.zone,
            'region': self.zones[self.zone],
            'zones': self.zones,
            'listen': {
                'frontend': f'{self.host}:{self.frontend}',
                'ready': f'{self.host}:{self.ready}',
            },
            'internal_ports': [self._peers, self._peers + 1],
            'platform': {'address': self.store, 'min_ttl_s': 1},
            'limits': {
                'cpu_share': 0.86,
                'cores': 1,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
            },
            'bounds': BOUNDS,
        }


async def send(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout: float = 10.0,
    caller: str | None = None,
) -> Answer:
    """Send a request on a new connection and return its answer."""
    async with asyncio.timeout(_CONNECT_SECONDS):
        reader, writer = await asyncio.open_connection(
            host, port, local_addr=(caller, 0) if caller else None
        )
    try:
        fields = {'Host': 'example', **(headers or {})}
        if method != 'GET':
            fields['Content-Length'] = str(len(body))
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in fields.items()]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        async with asyncio.timeout(timeout):
            return await read_answer(reader)
    finally:
        writer.close()


class Fleet:
    """A store and machines on loopback addresses."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.store = Store(record.write)
        self.machines: list[Machine] = []
        self._folder = folder
        self._net = f'127.{random.randint(20, 250)}.{random.randint(0, 250)}'
        self._addresses = count(10)
        self._attempts = count(1)
        self._ports = tuple(self._free_port() for _ in range(3))

    def address(self) -> str:
        """Return a loopback address that nothing else uses."""
        return f'{self._net}.{next(self._addresses)}'

    async def add_machine(self, name: str) -> Machine:
        """Add a machine; it isn't started yet."""
        store_host = f'{self._net}.2'
        port = await self.store.listen(store_host, name)
        machine = Machine(
            name, self.address(), self._ports, f'{store_host}:{port}'
        )
        self.machines.append(machine)
        return machine

    async def start(self, machine: Machine) -> None:
        """Start the process of a machine."""
        await machine.start(self._folder)
        self.record.write(f'{machine.name}: started, process {machine.pid}')

    async def start_all(self) -> None:
        """Start all machines and wait until they are ready."""
        for machine in self.machines:
            await self.start(machine)
        for machine in self.machines:
            await machine.wait_until_ready()
        self.record.write('all machines are ready')

    async def end(self) -> None:
        """End all processes."""
        for machine in self.machines:
            await machine.end()

    def attempt_id(self) -> str:
        """Return a new attempt id."""
        return f'{next(self._attempts):016x}'

    def log_of(self, machine: Machine) -> str:
        """Return what a process wrote."""
        return (self._folder / f'{machine.name}.log').read_text()

    def _free_port(self) -> int:
        with closing(socket()) as probe:
            probe.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
            probe.bind(('127.0.0.1', 0))
            return int(probe.getsockname()[1])


async def _run(
    folder: Path, body: Callable[[Fleet, Record], Awaitable[int]]
) -> int:
    record = Record(folder)
    running = asyncio.current_task()
    assert running is not None
    # Processes that were started end also if this one is told to.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, running.cancel
    )
    with tempfile.TemporaryDirectory() as temporary:
        fleet = Fleet(record, Path(temporary))
        ticking = asyncio.create_task(fleet.store.run())
        try:
            async with asyncio.timeout(115):
                return await body(fleet, record)
        except Exception as error:
            record.conclude(f'the case could not run: {error!r}')
            return NOT_RUN
        finally:
            ticking.cancel()
            await fleet.end()
            if os.environ.get('KEEP_LOGS'):
                for machine in fleet.machines:
                    text = fleet.log_of(machine)
                    (folder / f'{machine.name}.log').write_text(text)


def run_case(
    folder: Path, body: Callable[[Fleet, Record], Awaitable[int]]
) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held."""
    try:
        code = asyncio.run(_run(folder, body))
    except asyncio.CancelledError:
        code = NOT_RUN  # Told to end.
    sys.exit(code)
