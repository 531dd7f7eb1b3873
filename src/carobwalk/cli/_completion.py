"""The command ``completion``."""

from typing import Final

import click
from click.shell_completion import (
    BashComplete,
    ShellComplete,
    add_completion_class,
    get_completion_class,
)

from carobwalk.cli._commands import register
from carobwalk.cli._exit_codes import ExitCode

_PROGRAM: Final = 'carobwalk'
_VARIABLE: Final = '_CAROBWALK_COMPLETE'
_SHELLS: Final = ('bash', 'zsh', 'fish')


class _StaticBashComplete(BashComplete):
    """Completion for bash 4.4 or newer, without a version check."""

    def source(self) -> str:
        """Return the script without running bash to find out its version."""
        return ShellComplete.source(self)


add_completion_class(_StaticBashComplete)


@register
@click.command('completion')
@click.argument('shell', type=click.Choice(_SHELLS))
@click.pass_context
def completion_command(context: click.Context, shell: str) -> None:
    """Print the completion script of a SHELL.

    For bash: eval "$(carobwalk completion bash)".
    """
    completion_class = get_completion_class(shell)
    if completion_class is None:
        context.exit(ExitCode.FAILURE)
    root = context.find_root().command
    completion = completion_class(root, {}, _PROGRAM, _VARIABLE)
    click.echo(completion.source())
