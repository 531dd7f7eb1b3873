"""The command line."""

from carobwalk.cli._commands import register
from carobwalk.cli._exit_codes import ExitCode
from carobwalk.cli._main import main
from carobwalk.cli._output import OutputFormat, echo_json, output_option

__all__ = (
    'ExitCode',
    'OutputFormat',
    'echo_json',
    'main',
    'output_option',
    'register',
)
