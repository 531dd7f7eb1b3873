"""Composition of a process from its parts."""

import importlib
from pathlib import Path

from carobwalk.settings import Settings

__all__ = ('serve', 'serve_gateway')


def serve(settings: Settings) -> int:
    """Run a process with its own administration; see ``app._serve``."""
    module = importlib.import_module('carobwalk.app._serve')
    return int(module.serve(settings))


def serve_gateway(path: Path) -> int:
    """Run a process on the users' platform; see ``app._serve_gateway``."""
    module = importlib.import_module('carobwalk.app._serve_gateway')
    return int(module.serve_gateway(path))
