"""Two ways to see the children of a process."""

import re
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from binary_check._run import Place, Process

LONGEST_SECONDS: Final = 30.0

_FORK: Final = re.compile(r'\b(v?fork|clone3?)\(')
_THREAD: Final = 'CLONE_THREAD'

Condition = Callable[[], bool]


class NoEndError(Exception):
    """The program did not come to the end that was waited for."""


def poll_children(process: Process, is_done: Condition) -> set[str]:
    """Read /proc without pause until a condition holds.

    Returns:
        Ids of all children seen.

    Raises:
        NoEndError: If the condition does not hold in time.
    """
    children: set[str] = set()
    deadline = time.monotonic() + LONGEST_SECONDS
    while not is_done():
        if time.monotonic() > deadline:
            raise NoEndError
        children |= _read_children(process.pid)
    return children


def watch_command(place: Place, *command: str) -> set[str]:
    """Run a command to its end; return the ids of its children."""
    with place.started(*command) as process:
        return poll_children(process, lambda: process.poll() is not None)


def trace_command(
    place: Place,
    use: Callable[[Process], None],
    *command: str,
) -> list[str]:
    """Run a command under strace.

    Args:
        place: Where to run.
        use: Called while it runs, with the process of strace.
        command: The command.

    Returns:
        The system calls that started a process.
    """
    target = place.path / 'trace.txt'
    options = ('-f', '-qq', '-e', 'trace=process', '-o', str(target))
    with place.started('/usr/bin/env', 'strace', *options, *command) as process:
        use(process)
        process.wait(LONGEST_SECONDS)
    return [
        line
        for line in target.read_text().splitlines()
        if _FORK.search(line) and _THREAD not in line
    ]


def _read_children(process_id: int) -> set[str]:
    children: set[str] = set()
    for task in Path(f'/proc/{process_id}/task').glob('*/children'):
        try:
            children.update(task.read_text().split())
        except OSError:
            children.update()  # The thread has ended meanwhile.
    return children
