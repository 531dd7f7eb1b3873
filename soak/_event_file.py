"""Log of what the soak injects and what servers are ordered to do."""

from datetime import UTC, datetime
from pathlib import Path


class EventFile:
    """Appends events with their wall-clock time, as in the routers' logs.

    Args:
        path: File that is written.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open('a', buffering=1)

    def write(self, event: str, **fields: object) -> None:
        """Append an event."""
        pairs = [f'{name}={field}' for name, field in fields.items()]
        time = datetime.now(UTC).isoformat()
        self._file.write(f'wall={time} event={event} {" ".join(pairs)}\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()
