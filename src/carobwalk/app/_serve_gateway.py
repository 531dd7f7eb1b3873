"""Entry point of a gateway process."""

import sys
from pathlib import Path
from typing import Final

import trio
from result import Err

from carobwalk.app._gateway_process import GatewayProcess
from carobwalk.settings import load_gateway_settings

_EXIT_OK: Final = 0
_EXIT_REQUESTS_ABORTED: Final = 1
_EXIT_INVALID_SETTINGS: Final = 2


def serve_gateway(path: Path) -> int:
    """Run the process until SIGTERM or SIGINT.

    Args:
        path: Settings file.

    Returns:
        Exit code: 0 after a graceful shutdown, 1 if requests in flight were
        aborted, 2 if the settings are invalid.
    """
    loaded = load_gateway_settings(path)
    if isinstance(loaded, Err):
        sys.stderr.write(f'{loaded.err_value}\n')
        return _EXIT_INVALID_SETTINGS
    process = GatewayProcess(loaded.ok_value, path)
    return _EXIT_OK if trio.run(process.run) else _EXIT_REQUESTS_ABORTED
