"""What the caller is told about the run of a request."""

from enum import StrEnum


class Outcome(StrEnum):
    """Final state of a request as known to the caller."""

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
