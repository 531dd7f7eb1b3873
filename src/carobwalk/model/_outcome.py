"""Outcomes of requests."""

from enum import StrEnum


class Outcome(StrEnum):
    """Final state of a request as reported to the caller."""

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
