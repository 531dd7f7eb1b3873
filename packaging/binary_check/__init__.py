"""Checks that the single-file binary is self-contained and starts no process.

Usage: python -m binary_check, after packaging/build.py. The last line of
the output is one JSON object; the exit code is 0 if all checks pass.
"""
