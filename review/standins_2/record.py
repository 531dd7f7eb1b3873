"""Record of a run: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes lines with the time since its start.

    Args:
        path: File to write to.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self.started = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f'{self.now:8.3f} {text}\n')
        self._file.flush()
