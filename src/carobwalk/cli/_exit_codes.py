"""Exit codes by kind of failure."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Exit codes of all commands.

    ``FAILURE`` is an error of the program itself, ``USAGE`` a wrong command
    line or settings file. With ``UNKNOWN`` a change may have taken effect.
    """

    OK = 0
    FAILURE = 1
    USAGE = 2
    INPUT = 3
    UNREACHABLE = 4
    NOT_FOUND = 5
    CONFLICT = 6
    REFUSED = 7
    UNKNOWN = 8
