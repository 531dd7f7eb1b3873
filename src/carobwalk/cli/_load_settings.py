"""Settings files named on the command line."""

from dataclasses import asdict

import click
from result import Err

from carobwalk.cli._exit_codes import ExitCode
from carobwalk.cli._output import OutputFormat, echo_json
from carobwalk.settings import Settings, load_settings


def load_or_exit(file: str, output: str = OutputFormat.TEXT) -> Settings:
    """Load a settings file, or exit after printing its errors.

    Args:
        file: Name of the settings file.
        output: Output format; ``json`` also prints the errors to standard
            output as JSON, besides the lines on standard error.

    Raises:
        click.exceptions.Exit: With ``ExitCode.USAGE`` if the file is invalid.
    """
    result = load_settings(file)
    if isinstance(result, Err):
        errors = result.err_value.errors
        if output == OutputFormat.JSON:
            echo_json({'errors': [asdict(error) for error in errors]})
        for error in errors:
            click.echo(str(error), err=True)
        raise click.exceptions.Exit(ExitCode.USAGE)
    return result.ok_value
