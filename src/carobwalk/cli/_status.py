"""The command ``status``."""

import time
from typing import Any

import click

from carobwalk.cli._admin_client import AdminClient
from carobwalk.cli._admin_connection import AdminCall
from carobwalk.cli._admin_options import client_options
from carobwalk.cli._admin_text import format_value
from carobwalk.cli._commands import register
from carobwalk.cli._exit_codes import ExitCode

_POLL_INTERVAL_SECONDS = 0.5


@register
@click.command('status')
@click.option(
    '--revision',
    type=click.IntRange(min=0),
    help='Revision to look for; the highest accepted one if left out.',
)
@click.option(
    '--wait',
    type=click.FloatRange(min=0),
    default=0,
    help='Longest wait in seconds until it is in force everywhere.',
)
@client_options
def status_command(
    client: AdminClient,
    revision: int | None,
    wait: float,
) -> None:
    """Show at how many processes the configuration is in force.

    Exit code 4 means that some process still lags or does not answer.
    """
    deadline = time.monotonic() + wait
    answer = _fetch(client, revision)
    while answer['lagging'] and time.monotonic() < deadline:
        time.sleep(_POLL_INTERVAL_SECONDS)
        answer = _fetch(client, revision)
    client.echo(
        answer,
        'revision {revision} in force at {in_force} of {processes}'.format_map(
            answer,
        ),
        *map(_lagging_process_line, answer['lagging']),
    )
    if answer['lagging']:
        raise click.exceptions.Exit(ExitCode.UNREACHABLE)


def _fetch(client: AdminClient, revision: int | None) -> dict[str, Any]:
    query = {} if revision is None else {'revision': str(revision)}
    call = AdminCall(method='GET', path='/v1/status', query=query)
    return client.request(call)


def _lagging_process_line(process: dict[str, Any]) -> str:
    held = format_value(process['revision'])
    detail = process['detail'] or 'lags'
    return (
        f'  {process["process"]} in {process["data_centre"]}: {held} {detail}'
    )
