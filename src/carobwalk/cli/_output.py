"""Output of commands as text or JSON."""

import json
from collections.abc import Callable
from enum import StrEnum
from typing import Any, TypeVar

import click

_FunctionT = TypeVar('_FunctionT', bound=Callable[..., Any])


class OutputFormat(StrEnum):
    """Output formats of commands."""

    TEXT = 'text'
    JSON = 'json'


def output_option(function: _FunctionT) -> _FunctionT:
    """Add the option ``--output``; the command gets it as ``output``."""
    option = click.option(
        '--output',
        type=click.Choice([str(member) for member in OutputFormat]),
        default=str(OutputFormat.TEXT),
        show_default=True,
        help='Format of the answer.',
    )
    return option(function)


def echo_json(answer: Any) -> None:
    """Print an answer as one JSON document on one line."""
    click.echo(json.dumps(answer, sort_keys=True))
