"""Runs ``carobwalk`` commands."""

import subprocess
import sys

import trio

from demo._errors import MissingError

_TIMEOUT_SECONDS = 30


async def run_command(*arguments: str) -> subprocess.CompletedProcess[bytes]:
    """Run a ``carobwalk`` command and wait until it exits.

    Raises:
        MissingError: If ``carobwalk`` does not have the command.
    """
    with trio.fail_after(_TIMEOUT_SECONDS):
        completed: subprocess.CompletedProcess[bytes] = await trio.run_process(
            (sys.executable, '-m', 'carobwalk', *arguments),
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )
    if b'No such command' in completed.stderr:
        raise MissingError(f'no command {" ".join(arguments[:2])}')
    return completed
