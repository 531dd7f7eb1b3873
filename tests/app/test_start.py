"""What a process on the users' platform loads when it starts."""

import subprocess
import sys

_NEEDLESS = ('ownership', 'dispatch', 'profiles', 'admin', 'entry')
_PROGRAM = """
import sys
import carobwalk.app._serve_gateway
print(*sorted(name for name in sys.modules if name.startswith('carobwalk.')))
"""


def test_loads_only_what_it_needs() -> None:
    """Slow hosts take seconds for modules; a restart waits for each."""
    done = subprocess.run(
        [sys.executable, '-c', _PROGRAM],
        check=True,
        capture_output=True,
        text=True,
        env={'PYTHONPATH': 'src'},
    )
    loaded = {name.split('.')[1] for name in done.stdout.split()}
    assert 'keyspace' in loaded
    assert not loaded & set(_NEEDLESS)
