"""Exit codes by kind of failure."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Exit codes of all commands.

    ``FAILURE`` is an error of the program itself, ``USAGE`` a wrong command
    line or settings file, ``INPUT`` another file that can't be read. With
    ``UNKNOWN`` a change may have taken effect. With ``HOST`` an address or a
    file of this host can't be used by ``serve``.
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
    HOST = 9
