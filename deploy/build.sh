#!/usr/bin/env bash
# Builds what the platform runs: the libraries and the package in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check \
        --target target/deps -r deploy/requirements.txt
    python3 -m compileall -q target/deps || true
    touch target/deps/.installed
fi
rm -rf target/deps/carobwalk
cp -r src/carobwalk target/deps/carobwalk
find target/deps/carobwalk -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/deps/carobwalk
