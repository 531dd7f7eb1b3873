"""Resource usage of this process."""

import resource
import time
from pathlib import Path
from typing import Final

_STATM: Final = Path('/proc/self/statm')
_RESIDENT_FIELD: Final = 1


def cpu_seconds() -> float:
    """Return the user and system time of all threads in seconds."""
    return time.process_time()


def resident_bytes() -> int:
    """Return the resident set size, from ``/proc/self/statm`` of Linux."""
    pages = int(_STATM.read_text().split()[_RESIDENT_FIELD])
    return pages * resource.getpagesize()
