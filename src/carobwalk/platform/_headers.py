"""Header names and readiness path that the platform specifies."""

from typing import Final

from carobwalk.gateway import HeaderNames

PLATFORM_HEADERS: Final = HeaderNames(
    request_id=b'attempt-id',
    time_left=b'deadline-ms',
    signature=b'response-signature',
    expected_server=b'target-instance',
    not_run=b'not-executed',
    server=b'instance-id',
    key=b'shard-key',
    limit=b'server-limit',
    leaving=b'server-leaving',
)
READINESS_PATH: Final = '/readiness'
