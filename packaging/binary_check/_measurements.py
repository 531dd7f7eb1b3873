"""Sizes and start times of the binary."""

import time

from binary_check._run import BINARY, WorkDirectory
from binary_check._serving import run_serve, write_settings


def measure(directory: WorkDirectory) -> dict[str, float]:
    """Return sizes in bytes and the durations of two ``version`` runs.

    The first run unpacks the bundle, the second one uses the unpacked files.
    """
    first_seconds = _time_version(directory)
    next_seconds = _time_version(directory)
    result = run_serve(directory, write_settings(directory))
    files = directory.unpacked.rglob('*')
    return {
        'binary_bytes': BINARY.stat().st_size,
        'unpacked_bytes': sum(
            path.stat().st_size for path in files if path.is_file()
        ),
        'serve_resident_bytes': result.resident_bytes,
        'first_start_seconds': round(first_seconds, 3),
        'next_start_seconds': round(next_seconds, 3),
    }


def _time_version(directory: WorkDirectory) -> float:
    started_at = time.monotonic()
    directory.run('version')
    return time.monotonic() - started_at
