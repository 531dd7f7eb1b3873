#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: they are plain Python 3.11 and
# need no library, so that compiling them is all.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common [0-9]*
