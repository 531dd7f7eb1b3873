"""Composition roots: wire the components of a process and run it."""

import importlib
from pathlib import Path

from carobwalk.settings import Settings

__all__ = ('serve', 'serve_gateway')


def serve(settings: Settings) -> int:
    """Run a process with its own administration API.

    Args:
        settings: Validated settings.

    Returns:
        Exit code; see ``carobwalk.app._serve``.
    """
    module = importlib.import_module('carobwalk.app._serve')
    return int(module.serve(settings))


def serve_gateway(path: Path) -> int:
    """Run a gateway process on the hosting platform.

    Args:
        path: Settings file.

    Returns:
        Exit code; see ``carobwalk.app._serve_gateway``.
    """
    module = importlib.import_module('carobwalk.app._serve_gateway')
    return int(module.serve_gateway(path))
