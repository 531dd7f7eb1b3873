"""Entry point of ``python -m binary_check``."""

import json
import sys
import tempfile
from pathlib import Path

from binary_check._checks import run_checks
from binary_check._measurements import measure
from binary_check._run import WorkDirectory


def main() -> int:
    """Measure the binary, run all checks and print the results as JSON.

    Returns:
        0 if all checks pass, otherwise 1.
    """
    with tempfile.TemporaryDirectory() as name:
        directory = WorkDirectory(Path(name))
        figures = measure(directory)
        checks = run_checks(directory)
    is_ok = all(checks.values())
    report = {'checks': checks, **figures, 'ok': is_ok}
    sys.stdout.write(f'{json.dumps(report)}\n')
    return 0 if is_ok else 1


if __name__ == '__main__':
    sys.exit(main())
