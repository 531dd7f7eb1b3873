"""Reading of the logs that a command is given."""

from collections.abc import Iterable, Iterator

import click
from result import Err

from carobwalk.cli._exit_codes import ExitCode
from carobwalk.events import LoggedEvent
from carobwalk.events.timeline import LogFile, merge_events, read_log


def read_events(logs: Iterable[str]) -> Iterator[LoggedEvent]:
    """Return the merged events of all logs.

    Raises:
        click.exceptions.Exit: With ``ExitCode.INPUT`` for an unreadable log.
    """
    contents = [_read_or_exit(log) for log in logs]
    for content in contents:
        for line in content.damaged:
            click.echo(f'left out {line}', err=True)
    return merge_events([log_file.events for log_file in contents])


def _read_or_exit(log: str) -> LogFile:
    outcome = read_log(log)
    if isinstance(outcome, Err):
        click.echo(str(outcome.err_value), err=True)
        raise click.exceptions.Exit(ExitCode.INPUT)
    return outcome.ok_value
