"""The command ``serve``."""

import importlib

import click

from carobwalk.cli._commands import register
from carobwalk.cli._exit_codes import ExitCode
from carobwalk.cli._load_settings import load_or_exit


@register
@click.command('serve')
@click.argument('file', type=click.Path(dir_okay=False))
@click.pass_context
def serve_command(context: click.Context, file: str) -> None:
    """Run the process that the settings FILE describes.

    SIGTERM and SIGINT are a graceful shutdown, which ends with exit code 0.
    Exit code 9 means that an address or the log can't be opened.
    """
    settings = load_or_exit(file)
    # Imported here since only this command needs the whole application.
    app = importlib.import_module('carobwalk.app')
    try:
        exit_code = app.serve(settings)
    except OSError as error:
        click.echo(f'cannot serve: {error}', err=True)
        exit_code = ExitCode.HOST
    context.exit(exit_code)
