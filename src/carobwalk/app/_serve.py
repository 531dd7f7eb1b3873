"""Run of one process."""

from typing import Final

import trio

from carobwalk.app._process import Process
from carobwalk.settings import Settings

_EXIT_DONE: Final = 0
_EXIT_CUT_OFF: Final = 1


def serve(settings: Settings) -> int:
    """Run the process until SIGTERM or SIGINT.

    Args:
        settings: Validated settings.

    Returns:
        Exit code: 0 after a graceful shutdown, 1 if requests in flight were
        cut off at the end of the longest wait.
    """
    is_graceful = trio.run(Process(settings).run)
    return _EXIT_DONE if is_graceful else _EXIT_CUT_OFF
