"""Registry of the commands."""

from collections.abc import Iterator
from typing import Final, TypeVar

import click

_CommandT = TypeVar('_CommandT', bound=click.Command)

_commands_by_name: Final[dict[str, click.Command]] = {}


class DuplicateCommandError(Exception):
    """Two commands are registered under the same name."""


def register(command: _CommandT) -> _CommandT:
    """Register a command or a group of commands.

    Raises:
        DuplicateCommandError: If the name is already registered.
    """
    name = command.name or ''
    if name in _commands_by_name:
        raise DuplicateCommandError(f'two commands are named {name!r}')
    _commands_by_name[name] = command
    return command


def registered_commands() -> Iterator[click.Command]:
    """Yield the commands in the order of their names."""
    for name in sorted(_commands_by_name):
        yield _commands_by_name[name]
