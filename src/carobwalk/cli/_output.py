"""Answers of commands as text or data."""

import json
from collections.abc import Callable
from enum import StrEnum
from typing import Any, TypeVar

import click

_FunctionT = TypeVar('_FunctionT', bound=Callable[..., Any])


class OutputFormat(StrEnum):
    """Formats of an answer."""

    TEXT = 'text'
    JSON = 'json'


def output_option(function: _FunctionT) -> _FunctionT:
    """Add the option ``--output`` to a command, passed on as ``output``."""
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
