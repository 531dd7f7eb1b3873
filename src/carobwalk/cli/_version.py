"""The command ``version``."""

import platform

import click

from carobwalk._version import VERSION
from carobwalk.cli._commands import register
from carobwalk.cli._output import OutputFormat, echo_json, output_option


@register
@click.command('version')
@output_option
def version_command(output: str) -> None:
    """Print the version."""
    if output == OutputFormat.JSON:
        echo_json({'version': VERSION, 'python': platform.python_version()})
        return
    click.echo(VERSION)
