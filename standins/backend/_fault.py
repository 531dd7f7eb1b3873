"""Faults that a request can trigger."""

from enum import StrEnum


class Fault(StrEnum):
    """How a backend server fails while it runs a request.

    ``CRASH`` exits the process before the effect. The others close the
    connection: ``BREAK`` before the effect, ``SILENT`` after the effect and
    before the response, ``CUT`` in the middle of the response body.
    """

    CRASH = 'crash'
    BREAK = 'break'
    SILENT = 'silent'
    CUT = 'cut'
