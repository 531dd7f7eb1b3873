"""Lookup of C libraries without starting a child process.

``ctypes.util.find_library`` runs ``/sbin/ldconfig``, and trio calls it when it
is imported. Carobwalk processes must not start child processes.
"""

from collections.abc import Mapping
from ctypes import util
from types import MappingProxyType
from typing import Final

_SONAMES_BY_NAME: Final[Mapping[str, str]] = MappingProxyType(
    {'c': 'libc.so.6', 'm': 'libm.so.6', 'pthread': 'libpthread.so.0'},
)


def find_soname(name: str) -> str | None:
    """Return the shared object name of a glibc library, if known."""
    return _SONAMES_BY_NAME.get(name)


def patch_find_library() -> None:
    """Replace ``ctypes.util.find_library`` by a lookup in a fixed table."""
    util.find_library = find_soname
