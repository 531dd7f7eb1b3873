"""Run of one process on the users' platform."""

import sys
from pathlib import Path
from typing import Final

import trio
from result import Err

from carobwalk.app._gateway_process import GatewayProcess
from carobwalk.settings import load_gateway_settings

_EXIT_DONE: Final = 0
_EXIT_CUT_OFF: Final = 1
_EXIT_SETTINGS: Final = 2


def serve_gateway(path: Path) -> int:
    """Run the process until SIGTERM or SIGINT.

    Args:
        path: Settings file.

    Returns:
        Exit code: 0 after a graceful shutdown, 1 if requests in flight were
        cut off, 2 if the settings can't be used.
    """
    loaded = load_gateway_settings(path)
    if isinstance(loaded, Err):
        sys.stderr.write(f'{loaded.err_value}\n')
        return _EXIT_SETTINGS
    process = GatewayProcess(loaded.ok_value, path)
    return _EXIT_DONE if trio.run(process.run) else _EXIT_CUT_OFF
