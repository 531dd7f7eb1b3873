"""The command line."""

from carobwalk.cli._main import main

__all__ = ('main',)
