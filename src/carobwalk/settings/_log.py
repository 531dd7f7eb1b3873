"""Settings of the event log."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

import msgspec


class LogLevel(StrEnum):
    """Severity levels of events, in ascending order."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@dataclass(frozen=True, slots=True, kw_only=True)
class Log:
    """Destination and threshold of the event log.

    Args:
        path: File that events are appended to; ``None`` for standard error.
        level: Lowest level that is written.
    """

    path: (
        Annotated[
            str,
            msgspec.Meta(
                pattern=r'\A[^\x00]+\Z',
                description='the name of a file',
            ),
        ]
        | None
    ) = None
    level: LogLevel = LogLevel.INFO
