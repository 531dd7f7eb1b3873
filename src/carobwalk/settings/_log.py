"""Settings of the log of events."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

import msgspec


class LogLevel(StrEnum):
    """Least level that is written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@dataclass(frozen=True, slots=True, kw_only=True)
class Log:
    """Where events are written.

    Args:
        path: File that events are appended to; ``None`` for standard error.
        level: Least level that is written.
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
