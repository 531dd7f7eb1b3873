"""Lookup of C libraries without a child process.

``ctypes.util.find_library`` runs ``/sbin/ldconfig``, and trio calls it when it
is imported. A process of this system starts no other process.
"""

from collections.abc import Mapping
from ctypes import util
from types import MappingProxyType
from typing import Final

_SONAMES_BY_NAME: Final[Mapping[str, str]] = MappingProxyType(
    {'c': 'libc.so.6', 'm': 'libm.so.6', 'pthread': 'libpthread.so.0'},
)


def find_soname(name: str) -> str | None:
    """Return the file name of a library of glibc, ``None`` for others."""
    return _SONAMES_BY_NAME.get(name)


def avoid_child_processes() -> None:
    """Make ``ctypes.util.find_library`` answer from a table."""
    util.find_library = find_soname
