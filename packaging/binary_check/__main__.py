"""Entry point of ``python -m binary_check``."""

import json
import sys
import tempfile
from pathlib import Path

from binary_check._checks import run_checks
from binary_check._figures import measure
from binary_check._run import Place


def main() -> int:
    """Run all checks; return the exit code."""
    with tempfile.TemporaryDirectory() as name:
        place = Place(Path(name))
        figures = measure(place)
        checks = run_checks(place)
    is_ok = all(checks.values())
    answer = {'checks': checks, **figures, 'ok': is_ok}
    sys.stdout.write(f'{json.dumps(answer)}\n')
    return 0 if is_ok else 1


if __name__ == '__main__':
    sys.exit(main())
