"""Reading of the event logs named on the command line."""

from collections.abc import Iterable, Iterator

import click
from result import Err

from carobwalk.cli._exit_codes import ExitCode
from carobwalk.events import LoggedEvent
from carobwalk.events.timeline import LogFile, merge_events, read_log


def read_events(logs: Iterable[str]) -> Iterator[LoggedEvent]:
    """Merge the events of all logs, reporting lines that were skipped.

    Raises:
        click.exceptions.Exit: With ``ExitCode.INPUT`` if a log can't be read.
    """
    log_files = [_read_or_exit(log) for log in logs]
    for log_file in log_files:
        for line in log_file.damaged:
            click.echo(f'left out {line}', err=True)
    return merge_events([content.events for content in log_files])


def _read_or_exit(log: str) -> LogFile:
    result = read_log(log)
    if isinstance(result, Err):
        click.echo(str(result.err_value), err=True)
        raise click.exceptions.Exit(ExitCode.INPUT)
    return result.ok_value
