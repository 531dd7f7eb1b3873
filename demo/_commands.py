"""Runs commands of the product."""

import subprocess
import sys

import trio

from demo._errors import MissingError

_SECONDS = 30


async def run_command(*arguments: str) -> subprocess.CompletedProcess[bytes]:
    """Run a ``carobwalk`` command to its end.

    Raises:
        MissingError: If there is no such command.
    """
    with trio.fail_after(_SECONDS):
        ended: subprocess.CompletedProcess[bytes] = await trio.run_process(
            (sys.executable, '-m', 'carobwalk', *arguments),
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )
    if b'No such command' in ended.stderr:
        raise MissingError(f'no command {" ".join(arguments[:2])}')
    return ended
