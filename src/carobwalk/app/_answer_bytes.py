"""Memory for the answers that a process receives."""

from typing import Final

from carobwalk.settings import HostLimits

_BYTES_PER_MEGABYTE: Final = 1_000_000
# An answer to a caller is copied up to two times, to complete it and to write
# it. With these, answers use half of the process's memory at most.
_CALLER_DIVISOR: Final = 6
# Answers of the store are decoded, which takes up to three times their size.
_STORE_DIVISOR: Final = 12


def caller_answer_bytes(host: HostLimits) -> int:
    """Return the maximum total size of answers to callers in bytes."""
    return _memory_bytes(host) // _CALLER_DIVISOR


def store_answer_bytes(host: HostLimits) -> int:
    """Return the maximum total size of answers of the store in bytes."""
    return _memory_bytes(host) // _STORE_DIVISOR


def _memory_bytes(host: HostLimits) -> int:
    return host.memory_megabytes * _BYTES_PER_MEGABYTE
