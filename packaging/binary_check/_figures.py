"""Sizes and times of the binary."""

import time

from binary_check._run import BINARY, Place
from binary_check._serving import watch_serve, write_service


def measure(place: Place) -> dict[str, float]:
    """Return sizes in bytes, and the seconds of two runs of ``version``."""
    first_seconds = _time_version(place)
    next_seconds = _time_version(place)
    served = watch_serve(place, write_service(place))
    files = place.unpacked.rglob('*')
    return {
        'binary_bytes': BINARY.stat().st_size,
        'unpacked_bytes': sum(
            path.stat().st_size for path in files if path.is_file()
        ),
        'serve_resident_bytes': served.resident_bytes,
        'first_start_seconds': round(first_seconds, 3),
        'next_start_seconds': round(next_seconds, 3),
    }


def _time_version(place: Place) -> float:
    begin = time.monotonic()
    place.run('version')
    return time.monotonic() - begin
