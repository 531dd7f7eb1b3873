"""The command ``check-settings``."""

import click

from carobwalk.cli._commands import register
from carobwalk.cli._load_settings import load_or_exit
from carobwalk.cli._output import OutputFormat, echo_json, output_option


@register
@click.command('check-settings')
@click.argument('file', type=click.Path(dir_okay=False))
@output_option
def check_settings_command(file: str, output: str) -> None:
    """Validate a settings FILE; print all its errors in one go.

    Exit code 0 means that `serve` accepts the file, 2 that it does not.
    """
    settings = load_or_exit(file, output)
    if output == OutputFormat.JSON:
        echo_json({'errors': [], 'process': settings.process.id})
        return
    click.echo(f'{file}: valid settings of process {settings.process.id}')
