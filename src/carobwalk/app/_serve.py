"""Entry point of a process with its own administration API."""

from typing import Final

import trio

from carobwalk.app._process import Process
from carobwalk.settings import Settings

_EXIT_OK: Final = 0
_EXIT_REQUESTS_ABORTED: Final = 1


def serve(settings: Settings) -> int:
    """Run the process until SIGTERM or SIGINT.

    Args:
        settings: Validated settings.

    Returns:
        Exit code: 0 after a graceful shutdown, 1 if requests in flight were
        aborted when the drain timeout expired.
    """
    is_graceful = trio.run(Process(settings).run)
    return _EXIT_OK if is_graceful else _EXIT_REQUESTS_ABORTED
