"""The command ``explain-request``."""

import click

from carobwalk.cli._commands import register
from carobwalk.cli._exit_codes import ExitCode
from carobwalk.cli._log_reading import read_events
from carobwalk.events import LoggedEvent
from carobwalk.events.timeline import render, trace_request

_DEFAULT_SECONDS = 5.0


@register
@click.command('explain-request')
@click.argument('request', metavar='ID')
@click.argument('logs', nargs=-1, required=True, metavar='LOG...')
@click.option(
    '--seconds',
    default=_DEFAULT_SECONDS,
    show_default=True,
    help='How long before its end to look for causes.',
)
def explain_request_command(
    request: str,
    logs: tuple[str, ...],
    seconds: float,
) -> None:
    """Show what was decided about the request ID, from the logs LOG...

    First come its own events, then what its process believed of its server,
    its key and its configuration. Exit code 5 means that no log has it.
    """
    trace = trace_request(read_events(logs), request, seconds)
    if not trace.events:
        click.echo(f'no event of request {request}', err=True)
        raise click.exceptions.Exit(ExitCode.NOT_FOUND)
    click.echo('the request')
    click.echo(render('text', list(trace.events)))
    click.echo(f'the {seconds:g} s before its end')
    click.echo(render('text', list(trace.context)))
    click.echo(_describe_outcome(trace.events[-1]))


def _describe_outcome(last: LoggedEvent) -> str:
    """Summarise the outcome of a request from its last event."""
    sends = last.fields.get('sends', '0')
    cause = last.fields.get('cause')
    if last.name == 'CallerLeft':
        return f'the caller left before its answer; sent {sends} times'
    if last.name == 'RequestDropped':
        return f'read ahead and never sent: {cause}'
    status = last.fields.get('status', 'unknown')
    origin = f'the gateway: {cause}' if cause else 'the backend server'
    return f'status {status} from {origin}; sent {sends} times'
