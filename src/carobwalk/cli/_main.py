"""Root of the command line."""

import importlib
from typing import Final

import click

from carobwalk._library_lookup import patch_find_library
from carobwalk.cli._commands import registered_commands

# Importing these modules registers their commands.
_MODULES: Final = (
    'carobwalk.cli._admin_quarantine',
    'carobwalk.cli._admin_token',
    'carobwalk.cli._check_settings',
    'carobwalk.cli._completion',
    'carobwalk.cli._explain',
    'carobwalk.cli._explain_request',
    'carobwalk.cli._explain_route',
    'carobwalk.cli._profile',
    'carobwalk.cli._serve',
    'carobwalk.cli._service',
    'carobwalk.cli._status',
    'carobwalk.cli._timeline',
    'carobwalk.cli._version',
)


def build_root() -> click.Group:
    """Build the root group with all registered commands."""
    # The command modules import trio, which calls ``find_library`` on import.
    patch_find_library()
    for module in _MODULES:
        importlib.import_module(module)
    return click.Group(
        name='carobwalk',
        help='Route requests to servers that own their keys.',
        commands=list(registered_commands()),
        context_settings={'help_option_names': ['-h', '--help']},
    )


main: Final = build_root()
