"""The checks."""

import shutil
from collections.abc import Callable
from typing import Final

from binary_check._children import trace_command, watch_command
from binary_check._run import BINARY, Place
from binary_check._serving import trace_serve, watch_serve, write_service

# Commands that have children, which the two ways to see them must see. A child
# that lives for a millisecond can slip through the reading of /proc on a busy
# host; strace sees each.
POLL_CONTROL: Final = ('/bin/sh', '-c', '/bin/sleep 0.05; /bin/true')
TRACE_CONTROL: Final = ('/bin/sh', '-c', '/bin/true; /bin/true')

_USAGE: Final = 2

Check = Callable[[Place], bool]

_checks_by_name: Final[dict[str, Check]] = {}


def check(function: Check) -> Check:
    """Register a check."""
    _checks_by_name[function.__name__] = function
    return function


def run_checks(place: Place) -> dict[str, bool]:
    """Run all checks; return whether each holds."""
    return {
        name: function(place.folder(name))
        for name, function in _checks_by_name.items()
    }


@check
def is_only_file(place: Place) -> bool:
    """Check that nothing else is in its directory."""
    return list(BINARY.parent.iterdir()) == [BINARY]


@check
def runs_alone(place: Place) -> bool:
    """Check that it runs with an empty environment, and refuses settings."""
    return (
        place.run('version') == 0
        and place.run('check-settings', '/dev/null') == _USAGE
        and place.run('serve', '/dev/null') == _USAGE
    )


@check
def poll_sees_children(place: Place) -> bool:
    """Check that the reading of /proc sees the children of the control."""
    return bool(watch_command(place, *POLL_CONTROL))


@check
def version_has_no_child(place: Place) -> bool:
    """Check by /proc."""
    return not watch_command(place, str(BINARY), 'version')


@check
def serve_has_no_child(place: Place) -> bool:
    """Check by /proc that it serves, has no child and ends gracefully."""
    served = watch_serve(place, write_service(place))
    return not served.children and served.exit_code == 0


@check
def strace_sees_children(place: Place) -> bool:
    """Check that strace is installed and sees the children of the control."""
    if shutil.which('strace') is None:
        return False
    return bool(trace_command(place, lambda _: None, *TRACE_CONTROL))


@check
def strace_sees_no_fork(place: Place) -> bool:
    """Check by strace that ``serve`` starts no process."""
    if shutil.which('strace') is None:
        return False
    return not trace_serve(place, write_service(place))
