"""Fields of profiles on the command line."""

import functools
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import click
import json5

_OPTIONS: Final = (
    click.option('--parent', help='Profile to inherit from.'),
    click.option(
        '--set',
        'assignments',
        multiple=True,
        metavar='FIELD=VALUE',
        help='Set a field to a value of JSON; may be repeated.',
    ),
    click.option(
        '--file',
        type=click.Path(exists=True, dir_okay=False, path_type=Path),
        help='JSON file, comments allowed, with fields to set.',
    ),
    click.option(
        '--unset',
        multiple=True,
        metavar='FIELD',
        help='Inherit a field again; may be repeated.',
    ),
)


@dataclass(frozen=True, slots=True)
class FieldChoices:
    """Fields that a command sets and leaves to be inherited."""

    present: Mapping[str, Any]
    unset: tuple[str, ...]

    def apply(self, fields: Mapping[str, Any]) -> dict[str, Any]:
        """Return all fields that a profile is to set itself."""
        wanted = {**fields, **self.present}
        for field in self.unset:
            wanted.pop(field, None)
        return wanted


def fields_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that set fields, passed on as ``fields``."""

    @functools.wraps(function)
    def wrapper(*args: Any, **named: Any) -> Any:
        present = _read_fields(
            named.pop('parent'),
            named.pop('assignments'),
            named.pop('file'),
        )
        fields = FieldChoices(present, named.pop('unset'))
        return function(*args, fields=fields, **named)

    command: Callable[..., Any] = wrapper
    for option in reversed(_OPTIONS):
        command = option(command)
    return command


def _read_fields(
    parent: str | None,
    assignments: tuple[str, ...],
    file: Path | None,
) -> dict[str, Any]:
    """Return the fields that options set.

    Raises:
        click.BadParameter: If an option can't be read.
    """
    fields: dict[str, Any] = {}
    if file is not None:
        fields.update(_read_file(file))
    fields.update(map(_read_assignment, assignments))
    if parent is not None:
        fields['parent'] = parent
    return fields


def _read_file(file: Path) -> dict[str, Any]:
    try:
        content = json5.loads(file.read_text(encoding='utf-8'))
    except ValueError as error:
        raise click.BadParameter(f'{file}: {error}') from error
    if isinstance(content, dict):
        return content
    raise click.BadParameter(f'{file} does not hold an object')


def _read_assignment(assignment: str) -> tuple[str, Any]:
    name, separator, text = assignment.partition('=')
    if not separator:
        raise click.BadParameter(f'{assignment!r} is not FIELD=VALUE')
    try:
        return name, json5.loads(text)
    except ValueError:
        # Names need no quotes on the command line.
        return name, text
