"""Detection of child processes, by polling /proc and by strace."""

import re
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from binary_check._run import Process, WorkDirectory

TIMEOUT_SECONDS: Final = 30.0

_FORK_CALL: Final = re.compile(r'\b(v?fork|clone3?)\(')
_THREAD_FLAG: Final = 'CLONE_THREAD'

Condition = Callable[[], bool]


class NoEndError(Exception):
    """The awaited condition did not hold before the timeout."""


def poll_children(process: Process, is_done: Condition) -> set[str]:
    """Poll /proc for children of a process until a condition holds.

    There is no pause between two polls, since a child can be short-lived.

    Returns:
        Process ids of all children found.

    Raises:
        NoEndError: If the condition does not hold within the timeout.
    """
    children: set[str] = set()
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not is_done():
        if time.monotonic() > deadline:
            raise NoEndError
        children |= _read_children(process.pid)
    return children


def poll_command(directory: WorkDirectory, *command: str) -> set[str]:
    """Run a command until it exits; return the ids of its children."""
    with directory.running(*command) as process:
        return poll_children(process, lambda: process.poll() is not None)


def trace_command(
    directory: WorkDirectory,
    use: Callable[[Process], None],
    *command: str,
) -> list[str]:
    """Run a command under strace.

    Args:
        directory: Directory of the run, which receives the trace.
        use: Called with the process of strace while the command runs.
        command: Command to trace, with its arguments.

    Returns:
        Lines of the trace with system calls that started a process, without
        those that started a thread.
    """
    target = directory.path / 'trace.txt'
    options = ('-f', '-qq', '-e', 'trace=process', '-o', str(target))
    with directory.running(
        '/usr/bin/env', 'strace', *options, *command
    ) as process:
        use(process)
        process.wait(TIMEOUT_SECONDS)
    return [
        line
        for line in target.read_text().splitlines()
        if _FORK_CALL.search(line) and _THREAD_FLAG not in line
    ]


def _read_children(process_id: int) -> set[str]:
    children: set[str] = set()
    for task in Path(f'/proc/{process_id}/task').glob('*/children'):
        try:
            children.update(task.read_text().split())
        except OSError:
            children.update()  # The thread has ended in the meantime.
    return children
