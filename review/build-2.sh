#!/usr/bin/env bash
# Prepares the stand-ins of the second review. They are plain Python files that
# need the standard library only, so this checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path('review/standins_2').glob('*.py')):
    compile(path.read_text(), str(path), 'exec')
PY
