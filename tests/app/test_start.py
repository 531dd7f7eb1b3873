"""Modules that a gateway process imports at start."""

import subprocess
import sys

_UNUSED_PACKAGES = ('ownership', 'dispatch', 'profiles', 'admin', 'entry')
_LIST_MODULES_PROGRAM = """
import sys
import carobwalk.app._serve_gateway
print(*sorted(name for name in sys.modules if name.startswith('carobwalk.')))
"""


def test_imports_only_needed_packages() -> None:
    """A gateway process imports no packages that it does not use.

    On slow hosts imports take seconds, and a restart waits for each of them.
    """
    completed = subprocess.run(
        [sys.executable, '-c', _LIST_MODULES_PROGRAM],
        check=True,
        capture_output=True,
        text=True,
        env={'PYTHONPATH': 'src'},
    )
    loaded = {name.split('.')[1] for name in completed.stdout.split()}
    assert 'keyspace' in loaded
    assert not loaded & set(_UNUSED_PACKAGES)
    # Loaded with the first question that a process is asked.
    assert 'carobwalk.gateway.explain' not in completed.stdout
    assert 'carobwalk.app._explain_call' not in completed.stdout
