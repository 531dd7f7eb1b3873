"""Tests that carobwalk starts no child processes."""

import os
import subprocess
import sys

import pytest

from carobwalk._library_lookup import find_soname

# Runs the command line, reporting each attempt to start a process.
AUDIT_PROGRAM = """
import sys

STARTS = ('subprocess.Popen', 'os.fork', 'os.forkpty', 'os.posix_spawn',
          'os.exec', 'os.system', 'os.spawn', 'pty.spawn')

def report(event, arguments):
    if event in STARTS:
        print('STARTED', event, arguments[:2], flush=True)

sys.addaudithook(report)
if {watched_import!r}:
    __import__({watched_import!r})
from carobwalk.cli import main
import importlib, pkgutil, carobwalk
for module in pkgutil.walk_packages(carobwalk.__path__, 'carobwalk.'):
    if not module.name.endswith('__main__'):
        importlib.import_module(module.name)
assert 'trio' in sys.modules
main({arguments!r})
"""


def _run_audited(arguments: list[str], watched_import: str = '') -> str:
    program = AUDIT_PROGRAM.format(
        arguments=arguments,
        watched_import=watched_import,
    )
    done = subprocess.run(
        [sys.executable, '-c', program],
        capture_output=True,
        text=True,
        check=True,
        env={'PYTHONPATH': os.pathsep.join(sys.path)},
        timeout=60,
    )
    return done.stdout


class TestNoChildren:
    @pytest.mark.parametrize(
        'arguments',
        [['version'], ['completion', 'bash'], ['--help']],
    )
    def test_command(self, arguments: list[str]) -> None:
        """Importing every module and running a command starts no process."""
        assert 'STARTED' not in _run_audited(arguments)

    def test_audit_detects_processes(self) -> None:
        """The audit hook reports the process that importing trio starts."""
        assert 'STARTED' in _run_audited(['version'], 'trio')

    def test_sonames(self) -> None:
        """Only the libraries in the table have a file name."""
        assert find_soname('pthread') == 'libpthread.so.0'
        assert find_soname('other') is None
