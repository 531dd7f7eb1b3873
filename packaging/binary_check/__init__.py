"""Checks that the one binary runs alone and never has a child process.

Usage: python -m binary_check, after packaging/build.py. The last line is one
JSON object; the exit code is 0 if all checks hold.
"""
