"""Faults that a request may ask for."""

from enum import StrEnum


class Fault(StrEnum):
    """How a backend server fails while it runs a request.

    ``CRASH`` ends the process at the start, ``BREAK`` closes the connection
    before the effect, ``SILENT`` after it and before the answer, and ``CUT``
    within the answer's body.
    """

    CRASH = 'crash'
    BREAK = 'break'
    SILENT = 'silent'
    CUT = 'cut'
