"""Checks of the binary, registered by their names in the report."""

import shutil
from collections.abc import Callable
from typing import Final

from binary_check._children import poll_command, trace_command
from binary_check._run import BINARY, WorkDirectory
from binary_check._serving import run_serve, trace_serve, write_settings

# Control commands that start child processes, which prove that both methods
# of detection work. Polling /proc on a busy host can miss a child that lives
# for a millisecond, so its control sleeps; strace reports every child.
POLL_CONTROL: Final = ('/bin/sh', '-c', '/bin/sleep 0.05; /bin/true')
TRACE_CONTROL: Final = ('/bin/sh', '-c', '/bin/true; /bin/true')

_EXIT_USAGE: Final = 2

Check = Callable[[WorkDirectory], bool]

_checks_by_name: Final[dict[str, Check]] = {}


def check(function: Check) -> Check:
    """Register a check under the name of its function."""
    _checks_by_name[function.__name__] = function
    return function


def run_checks(directory: WorkDirectory) -> dict[str, bool]:
    """Run each check in its own directory; return by name whether it passed."""
    return {
        name: function(directory.subdirectory(name))
        for name, function in _checks_by_name.items()
    }


@check
def is_only_file(directory: WorkDirectory) -> bool:
    """Check that the binary is the only file in its directory."""
    return list(BINARY.parent.iterdir()) == [BINARY]


@check
def runs_alone(directory: WorkDirectory) -> bool:
    """Check that it needs no other environment and rejects empty settings."""
    return (
        directory.run('version') == 0
        and directory.run('check-settings', '/dev/null') == _EXIT_USAGE
        and directory.run('serve', '/dev/null') == _EXIT_USAGE
    )


@check
def poll_sees_children(directory: WorkDirectory) -> bool:
    """Check that polling /proc detects the children of the control command."""
    return bool(poll_command(directory, *POLL_CONTROL))


@check
def version_has_no_child(directory: WorkDirectory) -> bool:
    """Check by polling /proc that ``version`` has no child process."""
    return not poll_command(directory, str(BINARY), 'version')


@check
def serve_has_no_child(directory: WorkDirectory) -> bool:
    """Check by polling /proc that ``serve`` has no child and exits with 0."""
    result = run_serve(directory, write_settings(directory))
    return not result.children and result.exit_code == 0


@check
def strace_sees_children(directory: WorkDirectory) -> bool:
    """Check that strace is installed and detects the control's children."""
    if shutil.which('strace') is None:
        return False
    return bool(trace_command(directory, lambda _: None, *TRACE_CONTROL))


@check
def strace_sees_no_fork(directory: WorkDirectory) -> bool:
    """Check by strace that ``serve`` starts no process."""
    if shutil.which('strace') is None:
        return False
    return not trace_serve(directory, write_settings(directory))
