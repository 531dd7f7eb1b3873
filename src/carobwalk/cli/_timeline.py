"""The command ``timeline``."""

from collections.abc import Callable
from typing import IO, Any, Final, TypeVar

import click

from carobwalk.cli._commands import register
from carobwalk.cli._log_reading import read_events
from carobwalk.events.timeline import (
    EventFilter,
    render,
    renderer_names,
)

_FunctionT = TypeVar('_FunctionT', bound=Callable[..., Any])

_FIELDS: Final = ('service', 'key', 'shard', 'server', 'request')
_OTHER_OPTIONS: Final = (
    click.option('--event', multiple=True, help='Show events of this name.'),
    click.option(
        '--process',
        multiple=True,
        help='Show events of this process.',
    ),
    click.option(
        '--follow-requests',
        is_flag=True,
        help='Show all events of a request of which one was chosen.',
    ),
    click.option(
        '--output',
        type=click.Choice(renderer_names()),
        default='text',
        show_default=True,
        help='Form of the time line.',
    ),
    click.option(
        '--to',
        type=click.File('w', encoding='utf-8', lazy=True),
        default='-',
        help='File to write; standard output if left out.',
    ),
)


def _options(function: _FunctionT) -> _FunctionT:
    """Add the filter and output options of the command."""
    fields = (
        click.option(
            f'--{name}',
            multiple=True,
            help=f'Show events of this {name}; may be repeated.',
        )
        for name in _FIELDS
    )
    for option in reversed((*fields, *_OTHER_OPTIONS)):
        function = option(function)
    return function


@register
@click.command('timeline')
@click.argument('logs', nargs=-1, required=True, metavar='LOG...')
@_options
def timeline_command(
    logs: tuple[str, ...],
    output: str,
    to: IO[str],
    **choices: Any,
) -> None:
    """Merge the event logs LOG... of all processes into one causal order.

    Several options choose the events for which all of them hold. Lines that
    hold no whole event are reported to standard error and left out.
    """
    events = read_events(logs)
    chosen = _build_filter(choices).select(events)
    to.write(render(output, chosen))
    to.write('\n')


def _build_filter(choices: dict[str, Any]) -> EventFilter:
    return EventFilter(
        names=frozenset(choices['event']),
        processes=frozenset(choices['process']),
        values_by_field={name: frozenset(choices[name]) for name in _FIELDS},
        follow_requests=choices['follow_requests'],
    )
