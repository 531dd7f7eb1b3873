"""Entry point of ``python -m demo``."""

import os
import signal
import sys
import time
from pathlib import Path
from types import FrameType

import trio

from demo._run import run_demo

_DIRECTORY = Path('var') / 'demo'


def main() -> int:
    """Run the demo in a new directory; ``STAY=1`` keeps it up."""
    # The processes are ended when the demo itself is asked to end, too.
    signal.signal(signal.SIGTERM, _interrupt)
    directory = _DIRECTORY / time.strftime('%Y%m%d-%H%M%S')
    directory.mkdir(parents=True)
    return trio.run(run_demo, directory.absolute(), bool(os.getenv('STAY')))


def _interrupt(number: int, frame: FrameType | None) -> None:
    # The event loop handles this signal where it can be cancelled.
    signal.raise_signal(signal.SIGINT)


if __name__ == '__main__':
    sys.exit(main())
