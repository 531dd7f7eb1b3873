"""Settings files named on the command line."""

from dataclasses import asdict

import click
from result import Err

from carobwalk.cli._exit_codes import ExitCode
from carobwalk.cli._output import OutputFormat, echo_json
from carobwalk.settings import Settings, load_settings


def load_or_exit(file: str, output: str = OutputFormat.TEXT) -> Settings:
    """Return the settings of a file.

    Raises:
        click.exceptions.Exit: With ``ExitCode.USAGE``, after all errors of
            the file were printed.
    """
    outcome = load_settings(file)
    if isinstance(outcome, Err):
        errors = outcome.err_value.errors
        if output == OutputFormat.JSON:
            echo_json({'errors': [asdict(error) for error in errors]})
        for error in errors:
            click.echo(str(error), err=True)
        raise click.exceptions.Exit(ExitCode.USAGE)
    return outcome.ok_value
