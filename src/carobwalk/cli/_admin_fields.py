"""Options that set the fields of a profile."""

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
class FieldEdits:
    """Changes to the fields of a profile.

    Args:
        assigned: Values of the fields to set.
        unset: Names of the fields to inherit again.
    """

    assigned: Mapping[str, Any]
    unset: tuple[str, ...]

    def apply(self, fields: Mapping[str, Any]) -> dict[str, Any]:
        """Return the profile's own fields after the changes."""
        merged = {**fields, **self.assigned}
        for field in self.unset:
            merged.pop(field, None)
        return merged


def fields_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that set fields; the command gets ``fields``."""

    @functools.wraps(function)
    def wrapper(*args: Any, **options: Any) -> Any:
        assigned = _read_fields(
            options.pop('parent'),
            options.pop('assignments'),
            options.pop('file'),
        )
        fields = FieldEdits(assigned, options.pop('unset'))
        return function(*args, fields=fields, **options)

    command: Callable[..., Any] = wrapper
    for option in reversed(_OPTIONS):
        command = option(command)
    return command


def _read_fields(
    parent: str | None,
    assignments: tuple[str, ...],
    file: Path | None,
) -> dict[str, Any]:
    """Return the fields set by options, later ones taking precedence.

    The order is ``--file``, ``--set``, ``--parent``.

    Raises:
        click.BadParameter: If an option or the file can't be parsed.
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
        # Strings such as names need no quotes on the command line.
        return name, text
