"""Checks that the one binary runs alone and never has a child process.

Usage: python packaging/check.py, after packaging/build.py. The last line is
one JSON object; the exit code is 0 if all checks hold.

Each run has an empty environment but for the place to unpack to. Children are
looked for in two ways: in /proc, which is read all the time while the program
runs, and by strace, where that is installed.
"""

import json
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

ROOT: Final = Path(__file__).resolve().parent.parent
BINARY: Final = ROOT / 'dist' / 'carobwalk'
SERVE_SECONDS: Final = 3.0
START_SECONDS: Final = 20.0
CONTROL: Final = ('/bin/sh', '-c', '/bin/true; /bin/true')
FORK: Final = re.compile(r'\b(v?fork|clone3?)\(')


@dataclass(frozen=True, slots=True)
class Served:
    """What was seen of a run of ``serve``.

    Args:
        children: Process ids of its children.
        exit_code: Exit code after SIGTERM.
        resident_bytes: Resident set size before SIGTERM.
    """

    children: frozenset[str]
    exit_code: int
    resident_bytes: int


def main() -> int:
    """Run all checks; return the exit code."""
    with tempfile.TemporaryDirectory() as name:
        place = Path(name)
        answer = check(place)
    answer['ok'] = all(answer['checks'].values())
    sys.stdout.write(f'{json.dumps(answer)}\n')
    return 0 if answer['ok'] else 1


def check(place: Path) -> dict[str, Any]:
    """Return the checks and the figures."""
    first_seconds = run_version(place)
    next_seconds = run_version(place)
    settings = write_settings(place)
    served = watch_serve(place, settings)
    checks = {
        'only_file': [path.name for path in BINARY.parent.iterdir()]
        == [BINARY.name],
        'control_has_children': bool(watch_command(list(CONTROL), place)),
        'version_has_no_child': not watch_command(
            [str(BINARY), 'version'],
            place,
        ),
        'serve_has_no_child': not served.children,
        'serve_ends_with_0': served.exit_code == 0,
        'wrong_settings_end_with_2': run_code(place, 'serve', '/dev/null') == 2,
        'repairs_unpacked_files': check_repair(place),
        'starts_at_once': check_parallel_starts(place),
        'refuses_open_directory': check_open_directory(place),
    }
    if shutil.which('strace'):
        checks['strace_sees_control'] = bool(trace(list(CONTROL), place))
        serve = [str(BINARY), 'serve', str(settings)]
        checks['strace_sees_no_fork'] = not trace(serve, place)
    return {
        'checks': checks,
        'binary_bytes': BINARY.stat().st_size,
        'unpacked_bytes': unpacked_bytes(place),
        'serve_resident_bytes': served.resident_bytes,
        'first_start_seconds': round(first_seconds, 3),
        'next_start_seconds': round(next_seconds, 3),
        'strace': shutil.which('strace') is not None,
    }


def environment(place: Path) -> dict[str, str]:
    """Return the whole environment of a run."""
    return {'CAROBWALK_UNPACK_DIR': str(place)}


def run_version(place: Path) -> float:
    """Run the command ``version``; return its time in seconds."""
    begin = time.monotonic()
    subprocess.run(
        [BINARY, 'version'],
        check=True,
        cwd='/',
        env=environment(place),
        stdout=subprocess.DEVNULL,
    )
    return time.monotonic() - begin


def run_code(place: Path, *arguments: str) -> int:
    """Run a command; return its exit code."""
    return subprocess.run(
        [BINARY, *arguments],
        check=False,
        cwd='/',
        env=environment(place),
        capture_output=True,
    ).returncode


def write_settings(place: Path) -> Path:
    """Write settings of a process whose store can't be reached."""
    callers, peers, administration, store = free_ports(4)
    settings = {
        'process': {'id': 'e1', 'region': 'n', 'data_centre': 'n-a'},
        'listen': {
            'callers': f'127.0.0.1:{callers}',
            'peers': f'127.0.0.1:{peers}',
            'administration': f'127.0.0.1:{administration}',
        },
        'platform': {
            'store': f'127.0.0.1:{store}',
            'host_list': f'127.0.0.1:{store}',
        },
        'log': {'path': str(place / 'events.log')},
        'limits': {'drain_seconds': 1},
    }
    path = place / 'settings.json5'
    path.write_text(json.dumps(settings))
    return path


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that are free now."""
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


def watch_serve(place: Path, settings: Path) -> Served:
    """Run ``serve`` with a request until SIGTERM."""
    command = [str(BINARY), 'serve', str(settings)]
    with started(command, place) as process:
        children = poll_children(process, until_answered(settings))
        children |= poll_children(process, until_time(SERVE_SECONDS))
        resident = resident_bytes(process.pid)
        process.send_signal(signal.SIGTERM)
        children |= poll_children(process, lambda: process.poll() is not None)
        return Served(frozenset(children), process.returncode, resident)


def resident_bytes(process: int) -> int:
    """Return the resident set size of a process."""
    pages = int(Path(f'/proc/{process}/statm').read_text().split()[1])
    return pages * resource.getpagesize()


def watch_command(command: list[str], place: Path) -> set[str]:
    """Run a command to its end; return its children."""
    with started(command, place) as process:
        return poll_children(process, lambda: process.poll() is not None)


@contextmanager
def started(
    command: list[str],
    place: Path,
) -> Iterator['subprocess.Popen[bytes]']:
    """Start a command and end it by its own id."""
    process = subprocess.Popen(
        command,
        cwd='/',
        env=environment(place),
        stdout=subprocess.DEVNULL,
    )
    try:
        yield process
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()


def poll_children(
    process: 'subprocess.Popen[bytes]',
    is_done: Callable[[], bool],
) -> set[str]:
    """Return the ids of all children seen until something is done."""
    children: set[str] = set()
    deadline = time.monotonic() + START_SECONDS + SERVE_SECONDS
    while not is_done():
        if time.monotonic() > deadline:
            raise TimeoutError('the program did not come to its end in time')
        for tasks in Path(f'/proc/{process.pid}/task').glob('*/children'):
            try:
                children.update(tasks.read_text().split())
            except OSError:
                continue  # A thread that ended meanwhile.
    return children


def until_time(seconds: float) -> Callable[[], bool]:
    """Return a condition that holds after some time."""
    end = time.monotonic() + seconds
    return lambda: time.monotonic() > end


def until_answered(settings: Path) -> Callable[[], bool]:
    """Return a condition that holds once a caller got an answer."""
    address = json.loads(settings.read_text())['listen']['callers']
    host, port = address.rsplit(':', 1)

    def is_answered() -> bool:
        try:
            with socket.create_connection((host, int(port)), 1) as connection:
                connection.sendall(b'GET /s/k HTTP/1.1\r\nhost: a\r\n\r\n')
                return connection.recv(1024).startswith(b'HTTP/1.1 ')
        except OSError:
            return False

    return is_answered


def trace(command: list[str], place: Path) -> list[str]:
    """Return the system calls that started a process, by strace."""
    target = place / 'trace.txt'
    options = ['-f', '-qq', '-e', 'trace=process', '-o', str(target)]
    with started(['/usr/bin/env', 'strace', *options, *command], place) as run:
        if 'serve' in command:
            poll_children(run, until_answered(Path(command[-1])))
            signal_program(run.pid)
        run.wait(START_SECONDS)
    return [
        line
        for line in target.read_text().splitlines()
        if FORK.search(line) and 'CLONE_THREAD' not in line
    ]


def signal_program(tracer: int) -> None:
    """Send SIGTERM to the program that strace runs."""
    children = Path(f'/proc/{tracer}/task/{tracer}/children').read_text()
    subprocess.run(['kill', *children.split()], check=True)


def unpacked_bytes(place: Path) -> int:
    """Return the size of all unpacked files."""
    (root,) = place.glob('carobwalk-*')
    return sum(path.stat().st_size for path in root.rglob('*'))


def check_repair(place: Path) -> bool:
    """Check that a missing and a short file are unpacked again."""
    (root,) = place.glob('carobwalk-*')
    (root / 'carobwalk').write_bytes(b'')
    (root / '_internal' / 'base_library.zip').unlink()
    return run_code(place, 'version') == 0


def check_parallel_starts(place: Path) -> bool:
    """Check that processes can unpack at the same time."""
    shared = place / 'shared'
    shared.mkdir()
    runs = [
        subprocess.Popen(
            [BINARY, 'version'],
            env=environment(shared),
            stdout=subprocess.DEVNULL,
        )
        for _ in range(4)
    ]
    return [run.wait(START_SECONDS) for run in runs] == [0] * len(runs)


def check_open_directory(place: Path) -> bool:
    """Check that a directory that others can write to is refused."""
    other = place / 'open'
    other.mkdir()
    (root,) = place.glob('carobwalk-*')
    planted = other / root.name
    planted.mkdir()
    planted.chmod(0o777)
    return run_code(other, 'version') == 126 and not any(planted.iterdir())


if __name__ == '__main__':
    sys.exit(main())
