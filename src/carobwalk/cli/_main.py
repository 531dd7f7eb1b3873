"""Root of the command line."""

import importlib
from typing import Final

import click

from carobwalk._library_lookup import avoid_child_processes
from carobwalk.cli._commands import registered_commands

# Modules that register commands when they are imported.
_MODULES: Final = (
    'carobwalk.cli._admin_quarantine',
    'carobwalk.cli._admin_token',
    'carobwalk.cli._check_settings',
    'carobwalk.cli._completion',
    'carobwalk.cli._explain',
    'carobwalk.cli._explain_request',
    'carobwalk.cli._profile',
    'carobwalk.cli._serve',
    'carobwalk.cli._service',
    'carobwalk.cli._status',
    'carobwalk.cli._timeline',
    'carobwalk.cli._version',
)


def build_root() -> click.Group:
    """Return the root with all registered commands."""
    # The commands import trio, which looks up a library when it is imported.
    avoid_child_processes()
    for module in _MODULES:
        importlib.import_module(module)
    return click.Group(
        name='carobwalk',
        help='Route requests to servers that own their keys.',
        commands=list(registered_commands()),
        context_settings={'help_option_names': ['-h', '--help']},
    )


main: Final = build_root()
