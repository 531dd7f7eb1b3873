"""Entry point of ``python -m demo``."""

import os
import signal
import sys
import time
from pathlib import Path
from types import FrameType

import trio

from demo._run import run_demo

_RUNS_DIRECTORY = Path('var') / 'demo'


def main() -> int:
    """Run the demo in a new directory below ``var/demo``.

    With ``STAY=1`` in the environment, the processes keep running after the
    last step until the demo is interrupted.

    Returns:
        Exit code of the demo, see ``run_demo``.
    """
    # SIGTERM also has to end the processes that the demo started.
    signal.signal(signal.SIGTERM, _raise_interrupt)
    directory = _RUNS_DIRECTORY / time.strftime('%Y%m%d-%H%M%S')
    directory.mkdir(parents=True)
    return trio.run(run_demo, directory.absolute(), bool(os.getenv('STAY')))


def _raise_interrupt(number: int, frame: FrameType | None) -> None:
    # trio turns SIGINT into KeyboardInterrupt, which unwinds the nurseries.
    signal.raise_signal(signal.SIGINT)


if __name__ == '__main__':
    sys.exit(main())
