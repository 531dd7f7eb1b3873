"""The command ``serve``."""

import importlib

import click

from carobwalk.cli._commands import register
from carobwalk.cli._load_settings import load_or_exit


@register
@click.command('serve')
@click.argument('file', type=click.Path(dir_okay=False))
@click.pass_context
def serve_command(context: click.Context, file: str) -> None:
    """Run the process that the settings FILE describes.

    SIGTERM and SIGINT are a graceful shutdown, which ends with exit code 0.
    """
    settings = load_or_exit(file)
    # Only this command needs the whole program in memory.
    app = importlib.import_module('carobwalk.app')
    context.exit(app.serve(settings))
